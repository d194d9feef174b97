#ifndef WALNUTMILL_VERSIONED_STORE_HPP
#define WALNUTMILL_VERSIONED_STORE_HPP

/// \file
/// The platform's transactional store as entry nodes see it: rows with
/// versions that are changed only under conditions. Calls don't block; they
/// are hooks, so that tests put in their own.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace walnutmill
{

/// Where a row lies. Rows of one partition can change together.
struct row_address
{
    std::string table;
    std::string partition;
    std::string key;

    friend bool operator==(row_address const& a, row_address const& b)
    {
        return a.key == b.key && a.partition == b.partition &&
               a.table == b.table;
    }
};

struct stored_row
{
    row_address at;
    std::string value;
    /// Grows with each change anywhere in the store.
    std::uint64_t version = 0;
};

/// Holds while the row has that version; 0: while there is no such row.
struct version_condition
{
    row_address at;
    std::uint64_t version = 0;
};

struct row_value
{
    row_address at;
    std::string value;
};

/// Takes effect as a whole or not at all. All its rows share a partition.
struct row_transaction
{
    std::vector<version_condition> conditions;
    std::vector<row_value> writes;
    std::vector<row_address> removals;
};

enum class store_outcome
{
    done,
    /// A condition did not hold; nothing was written by the last attempt.
    conflict,
    /// No answer in time that says what became of it.
    unavailable
};

struct transaction_result
{
    store_outcome outcome = store_outcome::unavailable;
    /// Version of all rows that were written.
    std::uint64_t version = 0;
    /// An earlier attempt got no answer: it may have taken effect, which a
    /// conflict then shows, or may yet do so while its conditions hold.
    bool in_doubt = false;
    /// On conflict: the rows of the conditions as they are now.
    std::vector<stored_row> rows;
};

/// Keys from `from` up to, without, `to`; empty means without bound.
struct row_range
{
    std::string table;
    std::string partition;
    std::string from;
    std::string to;
};

struct range_result
{
    store_outcome outcome = store_outcome::unavailable;
    std::vector<stored_row> rows;
    /// The store's newest version when the rows were read; 0: not told.
    std::uint64_t version = 0;
    /// More rows follow the last one.
    bool truncated = false;
};

/// The store's calls. Each continuation runs once, later, on the caller's
/// event loop.
struct versioned_store
{
    std::function<void(
        row_transaction, std::chrono::milliseconds patience,
        std::function<void(transaction_result)>)>
        commit;
    std::function<void(
        row_range, std::chrono::milliseconds patience,
        std::function<void(range_result)>)>
        read;
    /// False where a partition has not answered for a while, although asked;
    /// null: not known, so all are taken to answer.
    std::function<bool(std::string const& partition)> answers;
};

} // namespace walnutmill

#endif
