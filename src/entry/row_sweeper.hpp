#ifndef WALNUTMILL_SRC_ENTRY_ROW_SWEEPER_HPP
#define WALNUTMILL_SRC_ENTRY_ROW_SWEEPER_HPP

/// \file
/// Removes expired rows, because the store has no expiry of its own.
///
/// Load pattern: 30 to 140 programs a second, each leaving an account and up
/// to about 20 stored turns of 1 to 14 KB. Without this module a site fills its
/// store with 2 GB of turns in a day.
///
/// Each partition is swept by one node, selected like the coordinators of
/// programs. Two nodes that sweep the same partition do no harm: a row is
/// removed only if its version is unchanged.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/turn_history.hpp>
#include <walnutmill/versioned_store.hpp>
#include <walnutmill/wall_clock.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutmill
{

/// Age of a row, as decoded from its value.
struct row_age
{
    /// Time of the last write, in UTC seconds.
    std::int64_t written_at = 0;
    /// Time for which the row was promised to be retained; zero if it does not
    /// say.
    std::chrono::seconds kept_for{0};
    /// Rows that are removed together with this row.
    std::vector<row_address> dependent_rows;
};

/// A table whose rows expire.
struct swept_table
{
    std::string name;
    /// \return nothing if the row can't be decoded as one of the table's, or
    /// is removed together with another row.
    std::function<std::optional<row_age>(stored_row const&)> age_of;
};

struct sweep_options
{
    /// Added to the longest retention of any route, to allow for clocks that
    /// differ by minutes.
    std::chrono::seconds margin = turn_history::removal_margin;
    std::chrono::milliseconds timeout{2'000};
    /// If set, a row is removed only if its version also shows it to be expired
    /// by this clock. A time of day that is set forward would otherwise expire
    /// all rows. Nothing is removed until the sweeper has run for the retention
    /// and the margin. If null, only the time of day counts.
    clock_fn clock;
};

/// The longest time for which turns are retained. A promise outlives the
/// configuration that made it: it holds for the turns written until then.
class promised_retention
{
public:
    explicit promised_retention(clock_fn clock) : clock_(std::move(clock)) {}

    /// \param kept_for the longest retention of the configuration now in force
    void configure(std::chrono::seconds kept_for);
    std::chrono::seconds longest() const;

private:
    struct former_promise
    {
        std::chrono::seconds kept_for;
        time_point until;
    };

    clock_fn clock_;
    std::chrono::seconds configured_{0};
    std::vector<former_promise> former_;
};

/// What is known of the age of rows by their versions, independently of the
/// time of day: a row was written before any moment at which the store had
/// reached its version.
class version_ages
{
public:
    explicit version_ages(clock_fn clock) : clock_(std::move(clock)) {}

    /// The store has reached this version; 0 is ignored.
    void observe(std::uint64_t version);
    /// \return true if it is certain that a row of this version was written at
    /// least \c age ago.
    bool is_older(std::uint64_t version, std::chrono::seconds age) const;

private:
    struct observation
    {
        time_point at;
        std::uint64_t version;
    };

    clock_fn clock_;
    /// Oldest first.
    std::vector<observation> observations_;
    /// Shortest time between two observations that are retained.
    duration interval_ = std::chrono::seconds(5);
};

class row_sweeper
{
public:
    row_sweeper(
        versioned_store store, utc_fn utc, std::vector<swept_table> tables,
        sweep_options options = {});
    ~row_sweeper();
    row_sweeper(row_sweeper const&) = delete;
    row_sweeper& operator=(row_sweeper const&) = delete;

    /// Sweeps one partition of all tables sequentially.
    /// \param retention the longest time for which any route retains turns;
    /// a row that was promised more is retained for that
    /// \param done receives the number of removed rows
    void sweep(
        std::string const& partition, std::chrono::seconds retention,
        std::function<void(std::size_t removed)> done);

private:
    struct pass;
    using pass_ptr = std::shared_ptr<pass>;

    void read_next_page(pass_ptr const& state);
    void handle_page(pass_ptr const& state, range_result const& page);
    void remove_next_batch(pass_ptr const& state);

    versioned_store store_;
    utc_fn utc_;
    std::vector<swept_table> tables_;
    sweep_options options_;
    version_ages ages_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// \return the tables of accounts and of stored turns.
std::vector<swept_table> swept_tables();

} // namespace walnutmill

#endif
