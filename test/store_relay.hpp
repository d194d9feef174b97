#ifndef WALNUTMILL_TEST_STORE_RELAY_HPP
#define WALNUTMILL_TEST_STORE_RELAY_HPP

/// \file
/// Passes the calls of one node on to the stand-in of the store, apart from
/// those of tables that the test silences. The node then is out of step, while
/// others go on.

#include "entry_world.hpp"

#include <algorithm>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace walnutmill
{
namespace testing
{

class store_relay
{
public:
    explicit store_relay(standin_store const& to) : to_(to.address())
    {
        server_.on_request =
            [this](link_ptr const& link, http_request const& request)
        { pass_on(link, request); };
    }

    std::string const& address() const { return server_.address(); }

    /// Leaves calls of these tables unanswered.
    void silence(std::set<std::string> tables)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        silent_ = std::move(tables);
    }

private:
    bool is_silent(http_request const& request)
    {
        std::string const target(request.target());
        auto const is_named = [&](std::string const& table)
        {
            return target.find("table=" + table) != std::string::npos ||
                   request.body().find('"' + table + '"') != std::string::npos;
        };
        std::lock_guard<std::mutex> const lock(mutex_);
        return std::any_of(silent_.begin(), silent_.end(), is_named);
    }

    void pass_on(link_ptr const& link, http_request const& request)
    {
        if (is_silent(request))
            return;
        test_caller store(to_);
        auto const got = store.call(
            std::string(request.method_string()) + ' ' +
            std::string(request.target()) +
            " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
            std::to_string(request.body().size()) + "\r\n\r\n" +
            request.body());
        if (!got.whole)
        {
            link->abort();
            return;
        }
        link->write(standin_target::answer(got.status, {}, got.body));
        link->finish_answer();
    }

    std::string to_;
    std::mutex mutex_;
    std::set<std::string> silent_;
    standin_server server_;
};

} // namespace testing
} // namespace walnutmill

#endif
