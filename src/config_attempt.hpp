#ifndef WALNUTMILL_SRC_CONFIG_ATTEMPT_HPP
#define WALNUTMILL_SRC_CONFIG_ATTEMPT_HPP

/// \file
/// One change of the configuration, from the first read to the answer.

#include "config_rows.hpp"

#include <walnutmill/config_store.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace walnutmill
{
namespace detail
{

/// The rows that a change depends on, as read at one moment.
struct config_view
{
    /// The head row's whole value; none before the first version.
    std::optional<std::string> head_value;
    config_head head;
    /// Set when this command was carried out before.
    std::optional<config_command> done;
    /// The document row that the change makes too old.
    std::optional<config_document> outdated;
};

class config_attempt
{
public:
    config_attempt(
        config_store const& store, table_service const& table,
        object_store const& objects, configuration_change const& wanted);

    result<change_outcome> run();

private:
    std::uint64_t next_version() const;
    result<config_view> look() const;
    /// What a view alone decides, before anything is written; nullopt: the
    /// change is to be carried out.
    result<std::optional<change_outcome>>
    settled(config_view const& view) const;
    result<change_outcome> carry_out(config_view const& view) const;
    result<void> put_object() const;
    transaction make_transaction(config_view const& view) const;
    void add_clean_up(config_view const& view, transaction& into) const;
    result<change_outcome> repeated(config_command const& done) const;
    change_outcome stale(config_head const& head) const;
    change_outcome committed(config_view const& view) const;
    change_outcome refuse(change_outcome outcome) const;
    audit_entry audit_of(change_outcome const& outcome) const;
    std::string
    patch_to(std::uint64_t version, configuration const& other) const;

    config_store const& store_;
    table_service const& table_;
    object_store const& objects_;
    configuration_change const& wanted_;
    std::string document_;
    std::uint64_t hash_ = 0;
    bool in_object_ = false;
};

} // namespace detail
} // namespace walnutmill

#endif
