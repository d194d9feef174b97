#ifndef WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP
#define WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP

/// \file
/// What a node believes of the configuration, the engines and the other
/// nodes: rows of the store, read whole again and again.
///
/// Reading whole has no state that an outage, a lost history or a silent feed
/// could leave wrong, and a row's version tells whether it changed.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/line_log.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// Another entry node, as it registered itself.
struct entry_member
{
    std::string node;
    /// IP:PORT for other nodes.
    std::string address;
    std::string domain;
    /// Names this process among all that the node ever had.
    std::string incarnation;
};

class platform_view
{
public:
    struct hooks
    {
        std::function<void(std::shared_ptr<routing_table const>)>
            on_configuration;
        std::function<void(std::vector<engine_entry> const&)> on_engines;
        std::function<void(std::vector<entry_member> const&)> on_members;
    };

    platform_view(
        boost::asio::io_context& io, versioned_store store, clock_fn clock,
        random_fn random, line_log& log, entry_member self,
        std::chrono::milliseconds interval, hooks to);

    void start();

    /// Reads and writes all at once rather than at its next time, as the store
    /// has just come back: without it a node that started during an outage knew
    /// the others 0.6 to 1 s after the store's return, and nodes that know no
    /// others reserve budgets beside each other.
    void refresh();

    /// Takes this node's own row away; \param done called when that is known
    /// or given up.
    void leave(std::function<void()> done);

    /// When a configuration or the engines were last read.
    time_point last_read() const { return last_read_; }
    /// \return true once the registered engines were read.
    bool knows_engines() const { return engines_read_at_ != time_point{}; }

private:
    /// A row of the engines' table.
    struct known_engine
    {
        std::uint64_t row = 0;
        /// Empty: the row is not an engine's own.
        std::optional<engine_entry> entry;
    };

    void read_configuration();
    void configuration_read(range_result const& result);
    void read_engines();
    void read_engine_rows(std::string const& from);
    void engines_read(range_result const& result);
    void take_in_engines();
    void take_in_engine(
        stored_row const& row,
        std::unordered_map<std::string, known_engine>& seen);
    known_engine decode_engine(stored_row const& row);
    void keep_absent(std::unordered_map<std::string, known_engine>& seen);
    void log_engine(
        std::string_view event, std::string const& id,
        known_engine const& one) const;
    void read_members();
    void members_read(range_result const& result);
    void write_self();
    void again(
        std::chrono::milliseconds after, boost::asio::steady_timer& timer,
        void (platform_view::*step)());

    versioned_store store_;
    clock_fn clock_;
    random_fn random_;
    line_log& log_;
    entry_member self_;
    std::chrono::milliseconds interval_;
    hooks hooks_;
    boost::asio::steady_timer configuration_timer_;
    boost::asio::steady_timer engines_timer_;
    boost::asio::steady_timer members_timer_;
    boost::asio::steady_timer self_timer_;
    std::uint64_t configuration_row_ = 0;
    std::uint64_t configuration_version_ = 0;
    /// By id, as last read.
    std::unordered_map<std::string, known_engine> engines_;
    /// Rows of the reading under way, which takes a call for each 500 rows.
    std::vector<stored_row> engine_rows_;
    struct known_member
    {
        std::uint64_t row = 0;
        time_point changed_at{};
    };
    std::unordered_map<std::string, known_member> members_;
    std::vector<std::string> member_names_;
    time_point started_{};
    time_point last_read_{};
    time_point engines_read_at_{};
    /// Until then a missing entry does not mean that its engine is gone.
    time_point trust_absence_at_{};
    bool leaving_ = false;
};

} // namespace walnutmill

#endif
