#ifndef WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP
#define WALNUTMILL_SRC_ENTRY_PLATFORM_VIEW_HPP

/// \file
/// A node's view of the configuration, the engines and the other nodes. It is
/// built by polling complete tables of the store.
///
/// One node of each failure domain, the reader, polls the store. The others,
/// its followers, query the reader for changed tables. A follower polls the
/// store itself while the reader does not answer or reports only stale tables,
/// and reads a table at the latest at an age that leaves time for the read
/// within the bound of a change.
/// Complete reads keep no state that an outage, a truncated history or a
/// stalled change feed could corrupt. A read never replaces one of a higher
/// version.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/cluster_section.hpp"
#include "entry/engine_roster.hpp"
#include "entry/line_log.hpp"
#include "entry/member_roster.hpp"
#include "entry/program_coordinators.hpp"
#include "platform/documents.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <map>
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
    /// \param answer empty if the node did not answer
    using peer_answer_fn =
        std::function<void(std::optional<std::string> answer)>;

    /// How the configuration was found to be current, and what preceded it.
    struct configuration_confirmation
    {
        /// Node that read it from the store.
        std::string source;
        /// Time since the read began.
        duration read_age{0};
        /// Staleness until then. The maximum duration: first confirmation.
        duration former_age{0};
        /// Node whose read was the latest until then.
        std::string former_source;
        /// Time since a reader's answer was last used. The maximum duration:
        /// never.
        duration since_reader_answered{0};
        /// Reads of this node that failed since the former confirmation.
        std::uint32_t failed_reads = 0;
    };

    struct hooks
    {
        std::function<void(std::shared_ptr<routing_table const>)>
            on_configuration;
        std::function<void(std::vector<engine_entry> const&)> on_engines;
        std::function<void(std::vector<entry_member> const&)> on_members;
        /// Calls a function after a delay, on the event loop of the store's
        /// calls.
        std::function<void(duration, std::function<void()>)> schedule_after;
        /// Queries another node, whose serve() answers. Null: this node reads
        /// all tables from the store.
        std::function<void(
            std::string const& address, std::string query, peer_answer_fn)>
            ask{};
        /// Clock that also counts suspended time. Null: the view's clock.
        clock_fn boot_clock{};
        /// Called when the configuration is confirmed to be current as of a
        /// later time than before.
        std::function<void(configuration_confirmation const&)>
            on_configuration_confirmed{};
    };

    /// Largest document of which a change is in force within 3 s in a failure
    /// domain of 23 nodes with 0.12 cores and 30 Mbit/s each
    /// (docs/CAPACITY.md).
    static constexpr std::size_t supported_configuration_bytes = 1'100'000;

    /// Time until another node's answer to a query begins. Without an answer, a
    /// node still reads its tables itself before they are too old.
    static constexpr duration
    query_response_limit(std::chrono::milliseconds interval)
    {
        return interval / 2;
    }

    platform_view(
        versioned_store store, clock_fn clock, random_fn random, line_log& log,
        entry_member self, std::chrono::milliseconds interval, hooks callbacks);
    ~platform_view();
    platform_view(platform_view const&) = delete;
    platform_view& operator=(platform_view const&) = delete;

    void start();

    /// Reads all tables and schedules the write of the own row without waiting
    /// for the next interval. For use when the store is reachable again: nodes
    /// that know no other members reserve budgets independently of each other.
    void refresh();

    /// Removes this node's own row.
    /// \param done called when the removal succeeded, failed or timed out
    void leave(std::function<void()> done);

    /// \return when the configuration or the engines were last read, by this
    /// node or by the peer that reported them.
    time_point last_read() const;
    /// \return staleness of the configuration: time since the latest moment up
    /// to which it is known to include every acknowledged write. The maximum
    /// duration if it was never read.
    duration configuration_age() const;
    /// \return the size of the document that is in force; 0 if there is none
    std::size_t configuration_bytes() const { return configuration_bytes_; }
    /// \return the node whose read of the configuration is the latest known;
    /// empty if it was never read.
    std::string const& configuration_source() const
    {
        return configuration_source_;
    }
    /// \return true once the engines' table was read.
    bool has_read_engines() const;

    /// Answers another node's query.
    /// \return empty if it cannot be answered
    std::optional<std::string> serve(std::string_view query);

private:
    /// Timeout of one read. The next scheduled read retries it.
    static constexpr std::chrono::milliseconds read_timeout{900};

    /// A row of the engines' table as this node last read it.
    struct decoded_row
    {
        std::uint64_t version = 0;
        /// Empty: the row does not decode to an engine.
        std::optional<engine_entry> entry;
        /// Why it does not.
        std::string problem{};
    };

    /// A table as it is sent to followers.
    struct compressed_table_of
    {
        std::uint64_t digest = 0;
        compressed_bytes table;
    };

    /// All rows of a table from one read.
    struct table_rows
    {
        std::vector<stored_row> rows;
        /// Number of rows that could not be read.
        std::size_t unreadable = 0;
        /// The store's version at the first page.
        std::uint64_t as_of = 0;
    };

    cluster_section& section(cluster_table which);
    cluster_section const& section(cluster_table which) const;
    bool apply_section(cluster_table which, cluster_section fresh);
    bool apply_changed_section(cluster_table which);
    bool apply_configuration();
    bool apply_engines();
    void confirm_engines();
    bool apply_members();

    std::chrono::milliseconds read_interval() const;
    std::chrono::milliseconds query_interval() const;
    bool reads_for_others() const;
    bool is_starting_up() const;
    bool is_following() const { return clock_() < following_until_; }
    void read_all();
    void read_configuration();
    void read_whole_configuration();
    void
    configuration_changes_read(changes_result const& changes, time_point began);
    void apply_configuration_read(
        stored_row const* row, std::uint64_t version, time_point began);
    void confirm_section(
        cluster_table which, std::string const& source,
        time_point read_started_at);
    void report_confirmation(std::string const& source, duration former_age);
    /// \return time since the latest moment up to which the table is known to
    /// include every acknowledged write.
    duration age_of(cluster_table which) const;
    duration max_followed_age() const;
    void schedule_next_read(cluster_table which);
    void schedule_read_when_due(cluster_table which);
    void read_engines();
    void read_table(
        std::string const& table, std::string const& partition,
        std::function<void(std::optional<table_rows>)> done);
    void read_page(
        row_range range, std::shared_ptr<table_rows> const& read,
        std::function<void(std::optional<table_rows>)> done);
    void report_unreadable(std::string const& table, std::size_t rows);
    void engines_read(table_rows const& read, time_point began);
    std::vector<engine_entry>
    decode_engines(std::vector<stored_row> const& rows);
    decoded_row decode_engine(stored_row const& row, decoded_row const* former);
    void read_members();
    void members_read(table_rows const& read);
    void schedule_first_self_write();
    void schedule_self_write();

    /// How another node's answer was used.
    enum class peer_answer_outcome
    {
        /// It replaces own reads of the store.
        applied,
        /// It is older than this node's own view.
        behind,
        /// It is unreadable, or too stale for the time within which a change
        /// must take effect.
        unusable
    };

    void ask_peer();
    void follow(std::string const& reader);
    void stop_following(std::string_view why);
    void on_peer_answer(
        coordinator_candidate const& peer,
        std::optional<std::string> const& answer, time_point asked_at);
    peer_answer_outcome apply_peer_answer(
        std::string const& reader, std::string_view bytes, time_point asked_at);
    compressed_bytes const& compressed_table(cluster_table which);
    void log_members(std::vector<entry_member> const& members);

    void write_self();
    /// A periodic step, of which at most one run is scheduled.
    struct periodic_step
    {
        /// Number of the run that is scheduled last; earlier ones are void.
        std::uint64_t run = 0;
    };

    void schedule(
        std::chrono::milliseconds after, periodic_step& timer,
        void (platform_view::*step)());
    void run_after(
        duration after, periodic_step& timer, void (platform_view::*step)());

    /// The periodic reads of a table whose changes must take effect in time.
    struct table_reads
    {
        periodic_step& timer;
        void (platform_view::*step)();
    };
    table_reads reads_of(cluster_table which);

    versioned_store store_;
    clock_fn clock_;
    random_fn random_;
    line_log& log_;
    entry_member self_;
    std::chrono::milliseconds interval_;
    hooks hooks_;
    periodic_step configuration_timer_;
    periodic_step engines_timer_;
    periodic_step members_timer_;
    periodic_step ask_timer_;
    periodic_step self_timer_;
    cluster_sections sections_;
    std::array<std::optional<compressed_table_of>, cluster_table_count>
        compressed_;
    platform::configuration_decoder configuration_decoder_;
    std::uint64_t configuration_row_version_ = 0;
    std::uint64_t configuration_version_ = 0;
    std::size_t configuration_bytes_ = 0;
    std::string configuration_source_;
    std::uint32_t failed_configuration_reads_ = 0;
    engine_roster engines_;
    member_roster members_;
    std::unordered_map<std::string, decoded_row> decoded_engines_;
    /// Number of unreadable rows of each table at its latest read.
    std::map<std::string, std::size_t> unreadable_rows_;
    /// Selects the reader of the own failure domain.
    program_coordinators reader_;
    /// Until then the reader's answers replace own reads.
    time_point following_until_{};
    std::string followed_reader_;
    /// A query to the reader has not been answered yet.
    bool query_in_progress_ = false;
    /// When a reader's answer was last used.
    time_point reader_answered_at_{};
    std::set<std::string> member_names_;
    /// Latest read of the engines, on this node's own clock. The clock of a
    /// reader that was suspended makes its reads look newer than they are.
    time_point engines_confirmed_at_{};
    /// When another node last sent a query.
    time_point last_query_at_{};
    time_point started_{};
    /// The first write of the own row was scheduled.
    bool first_write_scheduled_ = false;
    bool leaving_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif
