#ifndef WALNUTMILL_SRC_ENTRY_SECTION_CLIENT_HPP
#define WALNUTMILL_SRC_ENTRY_SECTION_CLIENT_HPP

/// \file
/// Asks other nodes for the tables that they have read.

#include "entry/exchange.hpp"
#include "entry/line_log.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

class section_client
{
public:
    using answer_fn = std::function<void(std::optional<std::string> answer)>;

    /// \param response_limit time until an answer begins
    section_client(
        exchange_runtime runtime, line_log& log, duration response_limit);

    /// \param address IP:PORT of the node
    /// \param query what its platform_view::serve() takes
    /// \param done receives what serve() returned; empty if the node did not
    /// answer
    void
    ask(std::string const& address, std::string_view query,
        answer_fn const& done) const;

    /// \return true if such a request is for tables.
    static bool is_request(std::string_view target);

private:
    exchange_runtime runtime_;
    line_log& log_;
    duration response_limit_;
};

} // namespace walnutmill

#endif
