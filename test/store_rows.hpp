#ifndef WALNUTMILL_TEST_STORE_ROWS_HPP
#define WALNUTMILL_TEST_STORE_ROWS_HPP

/// \file
/// Rows of a stand-in for the platform's store, and its answers by the
/// published protocol. Without network, faults or threads.

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace walnutmill
{
namespace testing
{

/// \return the decoded value of a parameter of a request target
std::string query_value(std::string_view target, std::string const& name);

class store_rows
{
public:
    struct response
    {
        int status = 200;
        /// JSON
        std::string body = "{}";
    };

    void
    put(std::string const& table, std::string const& key,
        std::string_view value);
    /// Stores a row of which answers hold this text, whatever it is.
    void
    put_raw(std::string const& table, std::string const& key, std::string text);
    void remove(std::string const& table, std::string const& key);
    /// \return the number of rows of a table
    std::size_t count(std::string const& table) const;

    /// Forgets what changed up to now. The rows stay.
    void forget_history() { forgotten_before_ = version_; }
    /// Answers a call of the protocol.
    response respond(std::string const& target, std::string const& body);

private:
    struct stored
    {
        /// JSON; encoded once, since rows are read far more often than written.
        std::string text;
        std::uint64_t version = 0;
    };
    /// Table, partition and key.
    using row_key = std::array<std::string, 3>;
    /// Table, version and row.
    using row_change = std::tuple<std::string, std::uint64_t, row_key>;

    response transaction(nlohmann::json const& body);
    response range(std::string const& target) const;
    response feed(std::string const& target) const;
    void store(row_key const& at, std::string_view value);
    void erase(row_key const& at);
    /// \param rows JSON of rows, separated by commas
    /// \param more JSON of further fields, with a comma before each
    std::string
    answer_with(std::string_view rows, std::string_view more = {}) const;

    std::map<row_key, stored> rows_;
    /// The newest change of each row.
    std::set<row_change> changes_;
    std::uint64_t version_ = 0;
    /// Feeds after an older version are refused.
    std::uint64_t forgotten_before_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif
