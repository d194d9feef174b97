#ifndef WALNUTMILL_SRC_ENTRY_ROW_SWEEPER_HPP
#define WALNUTMILL_SRC_ENTRY_ROW_SWEEPER_HPP

/// \file
/// Removes rows that have outlived their use: nothing in the store expires by
/// itself.
///
/// Load pattern: 30 to 140 programs a second, each leaving an account and up
/// to some 20 kept turns of 1 to 14 KB. Without it a site fills its store
/// with 2 GB of turns in a day.
///
/// Each partition is swept by one node, chosen as programs' homes are. Two
/// that take themselves for it only find less to do: a row is removed under
/// its version.

#include <walnutmill/random.hpp>
#include <walnutmill/versioned_store.hpp>
#include <walnutmill/wall_clock.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// What a row says of its age.
struct row_age
{
    /// When it was written last, in UTC seconds.
    std::int64_t written_at = 0;
    /// Rows that go with it.
    std::vector<row_address> with_it;
};

/// A table whose rows grow old.
struct swept_table
{
    std::string name;
    /// \return empty where the row is not the table's, or goes with another.
    std::function<std::optional<row_age>(stored_row const&)> age_of;
};

struct sweep_options
{
    /// Kept beyond the longest time that a route promises: covers clocks that
    /// differ by minutes.
    std::chrono::seconds margin{600};
    std::chrono::milliseconds patience{2'000};
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

    /// Sweeps one partition of all tables, one after the other.
    /// \param kept_for the longest time that a route promises to keep turns
    /// \param done told how many rows were removed
    void sweep(
        std::string const& partition, std::chrono::seconds kept_for,
        std::function<void(std::size_t removed)> done);

private:
    struct pass;
    using pass_ptr = std::shared_ptr<pass>;

    void read_on(pass_ptr const& one);
    void page_read(pass_ptr const& one, range_result const& page);
    void remove_on(pass_ptr const& one);

    versioned_store store_;
    utc_fn utc_;
    std::vector<swept_table> tables_;
    sweep_options options_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// \return the tables of accounts and of kept turns.
std::vector<swept_table> swept_tables();

} // namespace walnutmill

#endif
