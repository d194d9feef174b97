#include "entry/http_caller.hpp"

#include "entry_world.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

/// Calls a server that records the connection of each request.
struct http_caller_fixture
{
    boost::asio::io_context io;
    std::mutex mutex;
    /// Not owned, as connections must not outlive their server.
    std::vector<std::weak_ptr<caller_link>> links;
    standin_server server;

    http_caller_fixture()
    {
        server.on_request = [this](link_ptr const& link, http_request const&)
        {
            {
                std::lock_guard<std::mutex> const lock(mutex);
                links.push_back(link);
            }
            link->write(standin_target::answer(200, {}, "done"));
            link->finish_answer();
        };
    }

    bool is_same(std::size_t one, std::size_t other) const
    {
        return !links[one].owner_before(links[other]) &&
               !links[other].owner_before(links[one]);
    }

    void call(http_caller& caller)
    {
        exchange_request request;
        request.address = server.address();
        request.bytes = cbor_bytes_request("/x", server.address(), {});
        request.limits = small_exchange(std::chrono::seconds(10));
        bool done = false;
        caller.call(
            std::move(request),
            [&](exchange_reply const& reply)
            {
                CHECK(reply.answered);
                done = true;
            });
        io.restart();
        while (!done)
            io.run_one();
    }
};

} // namespace

TEST_CASE_METHOD(
    http_caller_fixture,
    "http caller: a connection that its server may be about to close is not "
    "used again")
{
    http_caller caller(io, milliseconds(200));
    call(caller);
    call(caller);
    std::this_thread::sleep_for(milliseconds(300));
    call(caller);
    std::lock_guard<std::mutex> const lock(mutex);
    REQUIRE(links.size() == 3);
    CHECK(is_same(0, 1));
    CHECK_FALSE(is_same(1, 2));
}
