/// \file
/// Guards against a second answer that is written into a stream which has
/// begun, when the stream goes on at another engine that does not stream.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

/// The first engine asked begins a stream and falls silent. The engine that is
/// asked to go on sends an answer that the test sets.
struct second_answer_fixture : entry_world
{
    /// "$id" stands for the request's id.
    std::string second;
    bool closes_after_second = false;
    std::atomic<int> resumptions{0};

    second_answer_fixture()
    {
        min_stall_timeout = milliseconds(150);
        for (auto* engine : {&engine_a, &engine_b})
        {
            engine->set_handler(
                [this](link_ptr const& link, http_request const& call)
                { return answer(link, call); });
        }
    }

    bool answer(link_ptr const& link, http_request const& call)
    {
        std::string const id(call["Request-Id"]);
        if (call["Last-Event-Id"].empty())
        {
            link->write(standin_target::stream(id, 1, 1, false));
            return true;
        }
        ++resumptions;
        auto bytes = second;
        auto const at = bytes.find("$id");
        if (at != std::string::npos)
            bytes.replace(at, 3, id);
        link->write(bytes);
        if (closes_after_second)
            link->abort();
        else
            link->finish_answer();
        return true;
    }

    /// Starts two nodes. A call leaves a silent engine once another node has
    /// told what it knows of the request.
    node& start_nodes()
    {
        auto& first = start_node();
        auto& second_node = start_node();
        for (auto const* one : {&first, &second_node})
        {
            REQUIRE(eventually(
                [&]
                {
                    return knows_members(*one, 1) &&
                           metric(*one, "walnutmill_crash_records_known") == 1;
                }));
        }
        return first;
    }
};

std::string signed_head(std::string const& status, std::string const& more = {})
{
    return "HTTP/1.1 " + status +
           "\r\nRequest-Id: $id\r\nResponse-Stamp: second\r\n" + more;
}

std::string with_body(std::string const& status, std::string const& more = {})
{
    return signed_head(status, more) +
           "Content-Type: text/plain\r\nContent-Length: 8\r\n\r\nconflict";
}

struct second_answer
{
    std::string bytes;
    bool closes = false;
};

} // namespace

// Guards against a status line and a head inside of a chunked body, and against
// a stream that ends as complete before its last event.
TEST_CASE_METHOD(
    second_answer_fixture,
    "second answer: a begun stream that another engine answers otherwise is "
    "broken off")
{
    auto const one = GENERATE(
        second_answer{with_body("400 X")}, second_answer{with_body("404 X")},
        second_answer{with_body("409 X")}, second_answer{with_body("429 X")},
        second_answer{with_body("302 X", "Location: /y\r\n")},
        second_answer{with_body("500 X")}, second_answer{with_body("503 X")},
        second_answer{with_body("200 X")},
        second_answer{signed_head("204 X") + "\r\n"},
        second_answer{
            signed_head("200 X", "Content-Type: text/plain\r\n") +
            "Content-Length: 0\r\n\r\n"},
        second_answer{signed_head("409 X") + "\r\nconflict", true});
    INFO(one.bytes);
    second = one.bytes;
    closes_after_second = one.closes;
    auto& node = start_nodes();
    test_caller caller(node.settings.listen_callers);
    auto const began = std::chrono::steady_clock::now();
    caller.send(turn("t1"));
    auto const received = caller.receive_until("no such text");
    CHECK(resumptions > 0);
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(3'500));
    CHECK(received.find("HTTP/1.1 200") == 0);
    CHECK(received.rfind("HTTP/1.1") == 0);
    CHECK(received.find("second") == std::string::npos);
    CHECK(received.find("conflict") == std::string::npos);
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
    CHECK(received.find("piece 1") != std::string::npos);
}
