#ifndef WALNUTMILL_VERSIONED_STORE_HPP
#define WALNUTMILL_VERSIONED_STORE_HPP

/// \file
/// Interface of entry nodes to the platform's transactional store. Rows have
/// versions and are written by conditional transactions. Calls are
/// asynchronous and held as function objects, so that tests can replace them.
/// Without versions, concurrent writers would overwrite each other's rows.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace walnutmill
{

/// Address of a row. A transaction can change several rows of one partition.
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

/// A row as read from the store.
struct stored_row
{
    row_address at;
    std::string value;
    /// Increases with each change anywhere in the store.
    std::uint64_t version = 0;
};

/// Holds while the row has this version. Version 0 requires that the row does
/// not exist.
struct version_condition
{
    row_address at;
    std::uint64_t version = 0;
};

/// A row to write: creates the row or replaces its value.
struct row_value
{
    row_address at;
    std::string value;
};

/// An atomic transaction. All its rows must belong to one partition.
struct row_transaction
{
    std::vector<version_condition> conditions;
    std::vector<row_value> writes;
    std::vector<row_address> removals;
};

/// Outcome of a call, after all its attempts.
enum class store_outcome
{
    done,
    /// A condition did not hold. The last attempt wrote nothing.
    conflict,
    /// No conclusive reply arrived before the timeout.
    unavailable
};

struct transaction_result
{
    store_outcome outcome = store_outcome::unavailable;
    /// Version of all written rows.
    std::uint64_t version = 0;
    /// The outcome of an attempt is unknown because it received no reply. The
    /// attempt may have taken effect, in which case a retry reports a conflict,
    /// or may still take effect while its conditions hold.
    bool in_doubt = false;
    /// On conflict: the current rows of the conditions.
    std::vector<stored_row> rows;
};

/// Why a call received no conclusive reply.
enum class call_failure
{
    none,
    /// The last attempt was sent and not answered in time.
    unanswered,
    /// The last attempt was answered with an error, for example because the
    /// store's rate was exceeded.
    refused,
    /// The partition had left requests unanswered for some time, so none was
    /// sent.
    not_sent,
    /// The reply could not be decoded.
    malformed
};

/// Keys in the half-open range [from, to). An empty key means no bound.
struct row_range
{
    std::string table;
    std::string partition;
    std::string from;
    std::string to;
    /// Whether rows of an unknown form are left out of the result. Otherwise
    /// they make the read fail, so that no row is taken for absent.
    bool skip_unreadable = false;
};

struct range_result
{
    store_outcome outcome = store_outcome::unavailable;
    std::vector<stored_row> rows;
    /// The store's newest version when the rows were read; 0: not reported.
    std::uint64_t version = 0;
    /// The range has more rows after the last one returned.
    bool truncated = false;
    /// Number of rows that were left out.
    std::size_t unreadable = 0;
    /// Time of the store's steady clock when it answered; zero: not reported.
    std::chrono::milliseconds store_time{0};
    /// Set if the outcome is \c unavailable and the cause is known.
    call_failure failure = call_failure::none;
};

/// Rows of a table that changed after a version.
struct changes_result
{
    store_outcome outcome = store_outcome::unavailable;
    /// The store no longer knows what changed; the table has to be read.
    bool history_lost = false;
    /// Newest value of each row that was written.
    std::vector<stored_row> rows;
    std::vector<row_address> removed;
    /// The store's newest version when the changes were read; 0: not reported.
    std::uint64_t version = 0;
};

/// The store's calls. Each completion handler runs exactly once, on the
/// caller's event loop, and never from within the call itself.
struct versioned_store
{
    std::function<void(
        row_transaction, std::chrono::milliseconds timeout,
        std::function<void(transaction_result)>)>
        commit;
    std::function<void(
        row_range, std::chrono::milliseconds timeout,
        std::function<void(range_result)>)>
        read;
    /// Reads what changed in a table after a version. Null: not available.
    std::function<void(
        std::string table, std::uint64_t after,
        std::chrono::milliseconds timeout, std::function<void(changes_result)>)>
        read_changes{};
    /// Returns false while a partition has left requests unanswered for some
    /// time. Null means that this is unknown and all partitions are assumed to
    /// be reachable.
    std::function<bool(std::string const& partition)> answers;
};

} // namespace walnutmill

#endif
