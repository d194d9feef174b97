#ifndef WALNUTMILL_CONFIG_STORE_HPP
#define WALNUTMILL_CONFIG_STORE_HPP

/// \file
/// The configuration in the platform: read by nodes, changed by operators.
///
/// Rows: `config/head` names the version in force and is changed by
/// compare-and-set only, so versions never fork or go back. It is small, as
/// every node reads it again and again. `config/doc/VERSION` holds the
/// document, or the key of the object that does; old ones are erased.
/// `config/command/ID` tells that a command was carried out, so that a
/// command repeated after a lost answer is the same command.

#include <walnutmill/audit.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/platform.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace walnutmill
{

/// A next configuration and what belongs to it.
struct configuration_change
{
    /// Its version is set by the store.
    configuration next;
    /// The version that the change was made for; zero: there is none yet.
    std::uint64_t expected_version = 0;
    /// The same id is the same command, however often it is sent.
    std::string command_id;
    /// Principal of the operator.
    std::string who;
    /// Must hold, or be written, together with the change.
    std::vector<condition> conditions;
    std::vector<row_write> writes;
    /// Written with the change; its id, who, versions and result are filled
    /// in. A refused change gets an entry of its own.
    std::optional<audit_entry> audit;
};

enum class change_status
{
    committed,
    /// This command had been carried out before.
    repeated,
    /// The head is at another version; see the patches.
    version_changed,
    /// One of the change's own conditions did not hold.
    condition_failed,
    /// The change itself is not allowed, for example it brings an expunged
    /// target back.
    not_allowed
};

struct change_outcome
{
    change_status status = change_status::committed;
    /// The version that the change made; if refused, the head's version.
    std::uint64_t version = 0;
    /// Why it was refused.
    std::string message;
    /// JSON patches (RFC 6902) from the expected version: what others changed
    /// since, and what this change would have changed. Empty when the
    /// expected version is no longer kept.
    std::string theirs;
    std::string own;
};

/// How far a session has come.
struct configuration_ack
{
    session_id session;
    /// Version that the session has in force; it serves only once this is
    /// above zero in the table.
    std::uint64_t applied = 0;
    bool fenced = false;
};

/// \return the highest version up to `head` that every serving session has in
/// force: what operators are told is accepted. A session that is fenced can
/// release nothing, and one that began after the change reads the head before
/// it serves, so neither is waited for.
std::uint64_t accepted_version(
    std::uint64_t head, std::vector<configuration_ack> const& acks);

/// \return the sessions that a version still waits for.
std::vector<session_id>
waits_for(std::uint64_t version, std::vector<configuration_ack> const& acks);

/// Thread-safe if its services are. All calls block.
class config_store
{
public:
    /// Versions whose documents are kept.
    static constexpr std::uint64_t kept_versions = 64;
    /// Longer documents go to the object store.
    static constexpr std::size_t max_row_document_bytes = 48 << 10;

    config_store(table_service table, object_store objects);

    /// Reads the version in force if it is higher than `known`.
    /// \return nullptr when it is not; a lower one is never returned.
    /// errc::not_found before the first version is written.
    result<std::shared_ptr<configuration const>>
    read_newer(std::uint64_t known) const;
    /// \return the version in force; zero before the first.
    result<std::uint64_t> read_head() const;
    /// \return a version that is still kept, else errc::not_found.
    result<std::shared_ptr<configuration const>>
    read_version(std::uint64_t version) const;

    /// Makes a change. The document is checked as a whole: one with findings
    /// is errc::bad_request. An error with certainty not_run changed nothing;
    /// with outcome_unknown the table did not answer in time, and the same
    /// command may be sent again to learn what became of it.
    result<change_outcome> change(configuration_change const& wanted) const;

private:
    table_service table_;
    object_store objects_;
};

} // namespace walnutmill

#endif
