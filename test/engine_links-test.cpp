#include "entry_world.hpp"

#include "entry/engine_links.hpp"
#include "platform/call_codec.hpp"

#include <boost/beast/http/message.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Connection pool for one engine that answers immediately.
struct links_fixture
{
    boost::asio::io_context io;
    standin_target engine{"ea"};
    engine_links links{io};
    engine_ref const ref{target_name("ea"), engine_incarnation()};

    /// Runs one exchange and sets the idle timeout stated by its answer.
    engine_links::link_ptr exchange(std::optional<milliseconds> stated)
    {
        auto link = links.acquire_link(ref, engine.address(), 4);
        REQUIRE(link);
        bool ended = false;
        http_link::handlers to;
        to.on_end = [&](link_end how)
        {
            CHECK(how == link_end::complete);
            ended = true;
        };
        link->exchange(
            "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n",
            request_id("r"), std::move(to));
        auto const end = std::chrono::steady_clock::now() + seconds(30);
        while (!ended && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(2));
            io.restart();
        }
        REQUIRE(ended);
        link->idle_timeout = stated;
        links.release_link(ref, link);
        return link;
    }
};

std::optional<seconds> idle_timeout_of(std::string const& header)
{
    boost::beast::http::response_header<> head;
    if (!header.empty())
        head.set(boost::beast::http::field::keep_alive, header);
    return platform::decode_answer(head).idle_timeout;
}

} // namespace

TEST_CASE_METHOD(
    links_fixture, "engine links: a connection is kept for the next call")
{
    auto const first = exchange(std::nullopt);
    CHECK(links.has_idle(ref.id));
    CHECK(links.acquire_link(ref, engine.address(), 4) == first);
    CHECK_FALSE(links.has_idle(ref.id));
}

TEST_CASE_METHOD(
    links_fixture,
    "engine links: one that the engine may be closing is not used")
{
    // A connection is unused for the last 500 ms of its stated timeout.
    auto const first = exchange(milliseconds(500));
    CHECK_FALSE(links.has_idle(ref.id));
    CHECK(links.acquire_link(ref, engine.address(), 4) != first);
}

TEST_CASE_METHOD(
    links_fixture, "engine links: one is kept for as long as the engine states")
{
    auto const first = exchange(seconds(20));
    first->idle_since -= seconds(15);
    CHECK(links.has_idle(ref.id));
    first->idle_since -= seconds(5);
    CHECK_FALSE(links.has_idle(ref.id));
}

TEST_CASE("engine answer: may state the idle timeout of its connection")
{
    CHECK(idle_timeout_of("timeout=5") == seconds(5));
    CHECK(idle_timeout_of("max=100, timeout=12") == seconds(12));
    CHECK(idle_timeout_of("timeout=7, max=3") == seconds(7));
    for (auto const* header : {"", "max=3", "timeout=", "timeout=x", "x"})
        CHECK_FALSE(idle_timeout_of(header));
}
