#include "entry/row_sweeper.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/turn_history.hpp>

#include <deque>
#include <utility>

namespace walnutmill
{
namespace
{

/// Entries of one transaction; the platform takes 100.
constexpr std::size_t entries_at_once = 90;

} // namespace

struct row_sweeper::pass
{
    struct doomed
    {
        stored_row row;
        std::vector<row_address> with_it;
    };

    std::string partition;
    std::int64_t before = 0;
    std::size_t table = 0;
    std::string from;
    bool more = false;
    std::deque<doomed> rows;
    std::size_t removed = 0;
    std::function<void(std::size_t)> done;
};

row_sweeper::row_sweeper(
    versioned_store store, utc_fn utc, std::vector<swept_table> tables,
    sweep_options options)
    : store_(std::move(store)), utc_(std::move(utc)),
      tables_(std::move(tables)), options_(options)
{
}

row_sweeper::~row_sweeper()
{
    // Answers of the store that still come find nobody.
    *alive_ = false;
}

void row_sweeper::sweep(
    std::string const& partition, std::chrono::seconds kept_for,
    std::function<void(std::size_t)> done)
{
    auto const one = std::make_shared<pass>();
    one->partition = partition;
    one->before = utc_() - (kept_for + options_.margin).count();
    one->done = std::move(done);
    read_on(one);
}

void row_sweeper::read_on(pass_ptr const& one)
{
    if (one->table == tables_.size())
    {
        one->done(one->removed);
        return;
    }
    store_.read(
        {tables_[one->table].name, one->partition, one->from, {}},
        options_.patience,
        [this, alive = alive_, one](range_result const& page)
        {
            if (*alive)
                page_read(one, page);
        });
}

void row_sweeper::page_read(pass_ptr const& one, range_result const& page)
{
    // A page that can't be read is left for the next pass.
    one->more = page.outcome == store_outcome::done && page.truncated &&
                !page.rows.empty();
    for (auto const& row : page.rows)
    {
        auto const age = tables_[one->table].age_of(row);
        if (age && age->written_at < one->before)
            one->rows.push_back({row, age->with_it});
    }
    if (!page.rows.empty())
        one->from = page.rows.back().at.key + '\0';
    remove_on(one);
}

void row_sweeper::remove_on(pass_ptr const& one)
{
    if (one->rows.empty())
    {
        if (!one->more)
        {
            ++one->table;
            one->from.clear();
        }
        read_on(one);
        return;
    }
    row_transaction change;
    std::size_t entries = 0;
    std::size_t rows = 0;
    while (!one->rows.empty() && entries < entries_at_once)
    {
        auto const& next = one->rows.front();
        auto const needed = 2 + next.with_it.size();
        if (entries > 0 && entries + needed > entries_at_once)
            break;
        change.conditions.push_back({next.row.at, next.row.version});
        change.removals.push_back(next.row.at);
        for (auto const& at : next.with_it)
            change.removals.push_back(at);
        entries += needed;
        ++rows;
        one->rows.pop_front();
    }
    store_.commit(
        std::move(change), options_.patience,
        [this, alive = alive_, one, rows](transaction_result const& result)
        {
            if (!*alive)
                return;
            // Where one row was changed meanwhile, all of them are left for
            // the next pass.
            if (result.outcome == store_outcome::done)
                one->removed += rows;
            remove_on(one);
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
        return row_age{account->written_at, {}};
    };
    swept_table turns;
    turns.name = turn_history::table();
    turns.age_of = [](stored_row const& row) -> std::optional<row_age>
    {
        auto const head = decode_turn_head(row.value);
        if (!head)
            return std::nullopt;
        row_age age{head->written_at, {}};
        for (std::size_t i = 1; i < head->pieces; ++i)
        {
            auto at = row.at;
            at.key = turn_history::piece_key(request_id(row.at.key), i);
            age.with_it.push_back(std::move(at));
        }
        return age;
    };
    return {std::move(programs), std::move(turns)};
}

} // namespace walnutmill
