#ifndef WALNUTMILL_TEST_STORE_ROWS_HPP
#define WALNUTMILL_TEST_STORE_ROWS_HPP

/// \file
/// Rows of a stand-in for the platform's store, and its answers by the
/// published protocol. Without network, faults or threads.

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

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
        nlohmann::json body;
    };

    void
    put(std::string const& table, std::string const& key, std::string value);
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
        std::string value;
        std::uint64_t version = 0;
    };
    /// Table, partition and key.
    using row_key = std::array<std::string, 3>;

    response transaction(nlohmann::json const& body);
    response range(std::string const& target) const;
    response feed(std::string const& target) const;
    nlohmann::json row_json(row_key const& at) const;

    std::map<row_key, stored> rows_;
    std::uint64_t version_ = 0;
    /// Feeds after an older version are refused.
    std::uint64_t forgotten_before_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif
