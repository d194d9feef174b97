#include "entry/row_sweeper.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/turn_history.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace walnutmill
{
namespace
{

/// Maximum entries of one transaction; the platform's limit is 100.
constexpr std::size_t max_entries_per_transaction = 90;
/// At one observation in 5 s this covers 85 minutes. Longer times are covered
/// with longer intervals.
constexpr std::size_t max_observations = 1'024;

} // namespace

void promised_retention::configure(std::chrono::seconds kept_for)
{
    auto const now = clock_();
    former_.erase(
        std::remove_if(
            former_.begin(), former_.end(),
            [now](former_promise const& one) { return one.until <= now; }),
        former_.end());
    if (kept_for < configured_)
        former_.push_back({configured_, now + configured_});
    configured_ = kept_for;
}

std::chrono::seconds promised_retention::longest() const
{
    auto const now = clock_();
    auto kept_for = configured_;
    for (auto const& one : former_)
    {
        if (one.until > now)
            kept_for = std::max(kept_for, one.kept_for);
    }
    return kept_for;
}

void version_ages::observe(std::uint64_t version)
{
    auto const now = clock_();
    if (version == 0 ||
        (!observations_.empty() && now - observations_.back().at < interval_))
        return;
    observations_.push_back({now, version});
    if (observations_.size() < max_observations)
        return;
    // Fewer observations only delay removals.
    std::vector<observation> thinned;
    for (std::size_t i = 0; i < observations_.size(); i += 2)
        thinned.push_back(observations_[i]);
    observations_ = std::move(thinned);
    interval_ *= 2;
}

bool version_ages::is_older(
    std::uint64_t version, std::chrono::seconds age) const
{
    auto const latest = clock_() - age;
    return std::any_of(
        observations_.begin(), observations_.end(),
        [version, latest](observation const& one)
        { return one.at <= latest && one.version >= version; });
}

struct row_sweeper::pass
{
    struct expired_row
    {
        stored_row row;
        std::vector<row_address> dependent_rows;
    };

    std::string partition;
    std::chrono::seconds retention{0};
    /// Rows whose retention ended before it are removed, in UTC seconds.
    std::int64_t cutoff = 0;
    std::size_t table = 0;
    std::string from;
    bool has_more = false;
    std::deque<expired_row> rows;
    std::size_t removed = 0;
    std::function<void(std::size_t)> done;
};

row_sweeper::row_sweeper(
    versioned_store store, utc_fn utc, std::vector<swept_table> tables,
    sweep_options options)
    : store_(std::move(store)), utc_(std::move(utc)),
      tables_(std::move(tables)), options_(std::move(options)),
      ages_(options_.clock)
{
}

row_sweeper::~row_sweeper()
{
    // Replies of the store that arrive later are discarded.
    *alive_ = false;
}

void row_sweeper::sweep(
    std::string const& partition, std::chrono::seconds retention,
    std::function<void(std::size_t)> done)
{
    auto const state = std::make_shared<pass>();
    state->partition = partition;
    state->retention = retention;
    state->cutoff = utc_() - options_.margin.count();
    state->done = std::move(done);
    read_next_page(state);
}

void row_sweeper::read_next_page(pass_ptr const& state)
{
    if (state->table == tables_.size())
    {
        state->done(state->removed);
        return;
    }
    store_.read(
        {tables_[state->table].name, state->partition, state->from, {}},
        options_.timeout,
        [this, alive = alive_, state](range_result const& page)
        {
            if (*alive)
                handle_page(state, page);
        });
}

void row_sweeper::handle_page(pass_ptr const& state, range_result const& page)
{
    // A page that can't be read is retried by the next pass.
    state->has_more = page.outcome == store_outcome::done && page.truncated &&
                      !page.rows.empty();
    if (options_.clock)
        ages_.observe(page.version);
    for (auto const& row : page.rows)
    {
        auto const age = tables_[state->table].age_of(row);
        if (!age)
            continue;
        auto const kept_for = std::max(state->retention, age->kept_for);
        if (age->written_at < state->cutoff - kept_for.count() &&
            (!options_.clock ||
             ages_.is_older(row.version, kept_for + options_.margin)))
            state->rows.push_back({row, age->dependent_rows});
    }
    if (!page.rows.empty())
        state->from = page.rows.back().at.key + '\0';
    remove_next_batch(state);
}

void row_sweeper::remove_next_batch(pass_ptr const& state)
{
    if (state->rows.empty())
    {
        if (!state->has_more)
        {
            ++state->table;
            state->from.clear();
        }
        read_next_page(state);
        return;
    }
    row_transaction change;
    std::size_t entries = 0;
    std::size_t rows = 0;
    while (!state->rows.empty() && entries < max_entries_per_transaction)
    {
        auto const& next = state->rows.front();
        auto const needed = 2 + next.dependent_rows.size();
        if (entries > 0 && entries + needed > max_entries_per_transaction)
            break;
        change.conditions.push_back({next.row.at, next.row.version});
        change.removals.push_back(next.row.at);
        for (auto const& at : next.dependent_rows)
            change.removals.push_back(at);
        entries += needed;
        ++rows;
        state->rows.pop_front();
    }
    store_.commit(
        std::move(change), options_.timeout,
        [this, alive = alive_, state, rows](transaction_result const& result)
        {
            if (!*alive)
                return;
            // If any row has changed meanwhile, the whole batch is left for the
            // next pass.
            if (result.outcome == store_outcome::done)
                state->removed += rows;
            remove_next_batch(state);
        });
}

std::vector<swept_table> swept_tables()
{
    swept_table programs;
    programs.name = program_ledger::table();
    programs.age_of = [](stored_row const& row) -> std::optional<row_age>
    {
        auto const account = decode_account(row.value);
        if (!account)
            return std::nullopt;
        return row_age{account->written_at, {}, {}};
    };
    swept_table turns;
    turns.name = turn_history::table();
    turns.age_of = [](stored_row const& row) -> std::optional<row_age>
    {
        auto const head = decode_turn_header(row.value);
        if (!head)
            return std::nullopt;
        row_age age{head->written_at, head->kept_for, {}};
        for (std::size_t i = 1; i < head->chunk_count; ++i)
        {
            auto at = row.at;
            at.key = turn_history::chunk_key(request_id(row.at.key), i);
            age.dependent_rows.push_back(std::move(at));
        }
        return age;
    };
    return {std::move(programs), std::move(turns)};
}

} // namespace walnutmill
