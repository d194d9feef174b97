#ifndef WALNUTMILL_PLATFORM_HPP
#define WALNUTMILL_PLATFORM_HPP

/// \file
/// The platform's table service and object store as the node sees them.
/// Their calls are hooks, so that tests put in their own. See
/// docs/PLATFORM.md for the wire form.

#include <walnutmill/result.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// A row of the table. Values are opaque bytes.
struct row
{
    std::string key;
    std::string value;
};

/// Holds while the row's value equals `equals`; nullopt: while it is absent.
struct condition
{
    std::string key;
    std::optional<std::string> equals;
};

/// Sets a row; nullopt erases it.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// Takes effect as a whole or not at all.
struct transaction
{
    std::string id;
    std::vector<condition> conditions;
    std::vector<row_write> writes;
};

/// What is known of a transaction after one attempt.
enum class commit_status
{
    committed,
    /// A condition did not hold; nothing was written.
    refused,
    /// It certainly did not reach the table, or the table declined to try.
    not_sent,
    /// The answer was lost; it may have taken effect or may do so yet.
    in_doubt
};

struct commit_result
{
    commit_status status = commit_status::in_doubt;
    /// Keys whose conditions failed, when refused.
    std::vector<std::string> failed;
};

struct scan_page
{
    std::vector<row> rows;
    /// More rows follow the last one.
    bool more = false;
};

/// The transactional table. All calls block; errors are store_unavailable.
struct table_service
{
    std::function<commit_result(transaction const&)> commit;
    /// Rows that are absent are left out.
    std::function<result<std::vector<row>>(std::vector<std::string> const&)>
        read;
    /// Rows with the prefix whose key is greater than `after`, in key order.
    std::function<result<scan_page>(
        std::string_view prefix, std::string_view after, std::size_t limit)>
        scan;
};

/// The object store. All calls block; errors are store_unavailable, or
/// not_found for a missing object.
struct object_store
{
    std::function<result<void>(std::string_view key, std::string_view value)>
        put;
    std::function<result<std::string>(std::string_view key)> get;
    std::function<result<void>(std::string_view key)> erase;
};

/// Reads every row with the prefix, page after page.
/// \return the rows, or the first error.
result<std::vector<row>>
scan_all(table_service const& table, std::string_view prefix);

} // namespace walnutmill

#endif
