#ifndef WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP
#define WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP

/// \file
/// What a node believes of the configuration, the engines and the other
/// nodes: tables of the store, read whole again and again.
///
/// One node of each failure domain reads the store; the others ask that node
/// which tables have changed, and read the store themselves where it does not
/// answer, or only with old readings. Reading whole has no state that an
/// outage, a lost history or a silent feed could leave wrong. A reading never
/// replaces one of a higher version.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/cluster_section.hpp"
#include "entry/engine_roster.hpp"
#include "entry/line_log.hpp"
#include "entry/member_roster.hpp"
#include "entry/program_home.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

class platform_view
{
public:
    /// \param answer empty where the node did not answer
    using told_fn = std::function<void(std::optional<std::string> answer)>;

    struct hooks
    {
        std::function<void(std::shared_ptr<routing_table const>)>
            on_configuration;
        std::function<void(std::vector<engine_entry> const&)> on_engines;
        std::function<void(std::vector<entry_member> const&)> on_members;
        /// Asks another node, to be answered by its serve(); null: all is read
        /// from the store.
        std::function<void(
            std::string const& address, std::string query, told_fn)>
            ask{};
        /// Clock that goes on while the machine is suspended; null: the view's.
        clock_fn boot_clock{};
        /// The configuration is known to be whole as of a later time.
        std::function<void()> on_confirmed{};
    };

    platform_view(
        boost::asio::io_context& io, versioned_store store, clock_fn clock,
        random_fn random, line_log& log, entry_member self,
        std::chrono::milliseconds interval, hooks to);

    void start();

    /// Takes in and writes all at once rather than at its next time, as the
    /// store has just come back: nodes that know no others reserve budgets
    /// beside each other.
    void refresh();

    /// Takes this node's own row away; \param done called when that is known
    /// or given up.
    void leave(std::function<void()> done);

    /// When a configuration or the engines were last read, by this node or the
    /// one that told it.
    time_point last_read() const;
    /// \return the time since the configuration is known to hold all that was
    /// acknowledged before; the longest duration where it never was read.
    duration configuration_age() const;
    /// \return true once the registered engines were read.
    bool knows_engines() const;

    /// Answers another node's query. \return empty where it can't be answered
    std::optional<std::string> serve(std::string_view query);

private:
    /// A row of the engines' table as this node read it last.
    struct decoded_row
    {
        std::uint64_t version = 0;
        /// Empty: the row is not an engine's own.
        std::optional<engine_entry> entry;
    };

    /// A table as it was read.
    struct table_rows
    {
        std::vector<stored_row> rows;
        /// The store's version at the first call.
        std::uint64_t as_of = 0;
    };

    cluster_section& section(cluster_table which);
    cluster_section const& section(cluster_table which) const;
    bool take_in(cluster_table which, cluster_section fresh);
    bool take_in_changed(cluster_table which);
    bool take_in_configuration();
    bool take_in_engines();
    void confirm_engines();
    bool take_in_members();

    std::chrono::milliseconds reading_interval() const;
    std::chrono::milliseconds question_interval() const;
    bool reads_for_others() const;
    bool is_young() const;
    bool follows() const { return clock_() < follows_until_; }
    void read_all();
    void read_configuration();
    void configuration_read(range_result const& result, time_point began);
    void confirm_configuration(time_point whole_at);
    void read_engines();
    void read_table(
        std::string const& table, std::string const& partition,
        std::function<void(std::optional<table_rows>)> done);
    void read_page(
        row_range range, std::shared_ptr<table_rows> const& read,
        std::function<void(std::optional<table_rows>)> done);
    void engines_read(table_rows const& read);
    std::vector<engine_entry>
    decode_engines(std::vector<stored_row> const& rows);
    std::optional<engine_entry> decode_engine(stored_row const& row);
    void read_members();
    void members_read(table_rows const& read);
    void write_first();
    void write_soon();

    /// What another node's answer was good for.
    enum class told_outcome
    {
        /// It stands in for readings of the store.
        taken,
        /// It is older than what this node has read itself.
        behind,
        /// It is unreadable, or too old for the bounds of a change.
        unusable
    };

    void ask_peer();
    void told(
        home_candidate const& peer, std::optional<std::string> const& answer,
        time_point asked_at);
    told_outcome take_in_told(std::string_view bytes, time_point asked_at);
    void log_members(std::vector<entry_member> const& members);

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
    boost::asio::steady_timer ask_timer_;
    boost::asio::steady_timer self_timer_;
    cluster_sections sections_;
    std::uint64_t configuration_row_ = 0;
    std::uint64_t configuration_version_ = 0;
    engine_roster engines_;
    member_roster members_;
    std::unordered_map<std::string, decoded_row> decoded_;
    /// The node of the own failure domain that reads for the others.
    program_homes reader_;
    /// Until then another node's readings stand in for own ones.
    time_point follows_until_{};
    std::set<std::string> member_names_;
    /// When the engines were read at the latest, by this node's own clock: the
    /// clock of a reader that was suspended makes its readings look newer.
    time_point confirmed_at_{};
    /// When another node last asked.
    time_point asked_at_{};
    time_point started_{};
    /// The own row was written, or is about to be.
    bool written_ = false;
    bool leaving_ = false;
};

} // namespace walnutmill

#endif
