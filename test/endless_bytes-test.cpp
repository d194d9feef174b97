/// \file
/// Bytes that are no answer and do not end, in the places of a connection that
/// read them: the exchange ends, and holds no more than is stated before.

#include "entry/answer_memory.hpp"
#include "entry/byte_limits.hpp"
#include "entry/exchange.hpp"
#include "entry/http_link.hpp"

#include "endless_server.hpp"

#include <catch2/catch.hpp>

#include <ctime>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const answer_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nResponse-Stamp: s\r\n";
std::string const chunked_head =
    answer_head + "Transfer-Encoding: chunked\r\n\r\n";

/// All of the processor time that a node of 0.12 cores has in the 3 s of a
/// call.
constexpr double max_processor_s = 0.36;

double thread_processor_s()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

/// One exchange with a server in trouble, on the test's own event loop.
struct endless_exchange_fixture
{
    boost::asio::io_context io;
    std::optional<link_end> ended;
    int heads = 0;
    std::size_t body = 0;
    std::size_t most_unparsed = 0;
    double processor_s = 0;
    std::size_t sent = 0;
    bool reusable = false;

    void exchange(endless_answer const& answer)
    {
        endless_server server(answer);
        auto const link =
            std::make_shared<http_link>(io, server.endpoint(), seconds(5));
        http_link::handlers to;
        to.on_received = [&]
        { most_unparsed = std::max(most_unparsed, link->unparsed_bytes()); };
        to.on_head = [&](http_link::response_head const&) { ++heads; };
        to.on_body = [&](std::string_view bytes) { body += bytes.size(); };
        to.on_end = [&](link_end how) { ended = how; };
        auto const began = thread_processor_s();
        link->exchange(
            "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n",
            request_id("r1"), std::move(to));
        auto const end = std::chrono::steady_clock::now() + seconds(4);
        while (!ended && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(2));
            io.restart();
        }
        processor_s = thread_processor_s() - began;
        reusable = link->reusable();
        link->close();
        io.run_for(milliseconds(2));
        sent = server.sent();
    }

    /// \param bytes that the link may have read
    void check_too_long(std::size_t bytes) const
    {
        REQUIRE(ended);
        CHECK(*ended == link_end::too_long);
        CHECK_FALSE(reusable);
        CHECK(sent <= bytes + endless_server::kernel_bytes);
        CHECK(most_unparsed <= max_framing_bytes + 2 * read_chunk_bytes);
        CHECK(processor_s <= max_processor_s);
    }
};

} // namespace

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: a head without end is not read on")
{
    auto const piece = GENERATE(
        std::string("X-Trouble: aaa\r\n"), std::string("a: \r\n"),
        std::string("a"));
    exchange({answer_head + "X: ", piece});
    check_too_long(max_framing_bytes + read_chunk_bytes);
    CHECK(heads == 0);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: a head whose fields come one packet each is limited too")
{
    std::string packet;
    while (packet.size() < 1'024)
        packet += "X-Trouble: aaa\r\n";
    constexpr std::size_t packets = 200;
    endless_answer answer{answer_head, packet, packets};
    answer.pause = milliseconds(1);
    exchange(answer);
    REQUIRE(ended);
    CHECK(*ended == link_end::too_long);
    CHECK(sent < packets * packet.size());
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: interim heads without end are not read on")
{
    auto const piece = GENERATE(
        std::string("HTTP/1.1 102 Processing\r\n\r\n"),
        std::string(
            "HTTP/1.1 103 Early\r\nX: " + std::string(900, 'x') + "\r\n\r\n"));
    exchange({"", piece});
    check_too_long(max_framing_bytes + read_chunk_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: answers to other requests are not read on without end")
{
    exchange(
        {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\n"
             "abc"});
    check_too_long(max_framing_with_body(max_framing_bytes));
    CHECK(heads == 0);
    CHECK(body == 0);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: one endless answer to another request is not read on")
{
    auto const head = GENERATE(
        std::string("Content-Length: 1000000000000\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("\r\n"));
    exchange(
        {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + head,
         "400\r\n" + std::string(1'024, 'x') + "\r\n"});
    check_too_long(
        max_skipped_bytes + max_framing_with_body(max_skipped_bytes));
    CHECK(body == 0);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: several long answers to other requests count together")
{
    constexpr std::size_t each = 3'000'000;
    exchange(
        {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: " +
                 std::to_string(each) + "\r\n\r\n" + std::string(each, 'x')});
    check_too_long(max_skipped_bytes + each);
    CHECK(body == 0);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: the extension of a chunk is not read on without end")
{
    exchange({chunked_head + "1;x=", "a"});
    check_too_long(max_framing_bytes + read_chunk_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: chunks of little else than extensions are not read on")
{
    exchange({chunked_head, "1;x=" + std::string(900, 'x') + "\r\nx\r\n"});
    check_too_long(2 * max_framing_bytes + read_chunk_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: the extension of the last chunk is not read on without end")
{
    exchange({chunked_head + "3\r\nabc\r\n0;x=", "a"});
    check_too_long(max_framing_bytes + read_chunk_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: a trailer without end is not read on")
{
    auto const piece =
        GENERATE(std::string("X-Trouble: aaa\r\n"), std::string("a"));
    exchange({chunked_head + "3\r\nabc\r\n0\r\nX: ", piece});
    check_too_long(max_framing_bytes + read_chunk_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: an answer that declares too much ends at its head")
{
    auto const length = GENERATE(
        max_answer_bytes + 1, std::size_t(64'000'000'000),
        std::size_t(1'000'000'000'000'000));
    auto const first_bytes = GENERATE(std::string(), std::string("xx"));
    exchange(
        {answer_head + "Content-Length: " + std::to_string(length) +
             "\r\n\r\n" + first_bytes,
         "x"});
    check_too_long(max_framing_bytes + read_chunk_bytes);
    CHECK(body == 0);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: a body without a declared length ends at the limit")
{
    auto const framing = GENERATE(
        std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("\r\n"));
    exchange(
        {answer_head + framing, "400\r\n" + std::string(1'024, 'x') + "\r\n"});
    check_too_long(2 * max_answer_bytes);
    CHECK(body <= max_answer_bytes);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: a body of single bytes in chunks ends early")
{
    exchange({chunked_head, "00000001;a=b\r\nx\r\n"});
    check_too_long(max_framing_with_body(max_framing_bytes * 16));
    CHECK(body <= max_framing_bytes * 16);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: an honest answer after interim and late ones is complete")
{
    std::string const interim = "HTTP/1.1 102 Processing\r\n\r\n";
    std::string const late =
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: "
        "4000000\r\n\r\n" +
        std::string(4'000'000, 'l');
    exchange(
        {interim + interim + late + interim + answer_head + "X-Long: " +
             std::string(900, 'x') + "\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1\r\nx\r\n", 60'000, "0\r\nTrailer: t\r\n\r\n"});
    REQUIRE(ended);
    CHECK(*ended == link_end::complete);
    CHECK(body == 60'000);
    CHECK(heads == 1);
}

TEST_CASE_METHOD(
    endless_exchange_fixture,
    "endless bytes: an honest answer of the greatest size is complete")
{
    std::string const length = std::to_string(max_answer_bytes);
    auto const in_chunks = GENERATE(false, true);
    auto const piece = std::string(4'096, 'x');
    auto const pieces = max_answer_bytes / piece.size();
    if (in_chunks)
        exchange(
            {chunked_head, "1000\r\n" + piece + "\r\n", pieces, "0\r\n\r\n"});
    else
        exchange(
            {answer_head + "Content-Length: " + length + "\r\n\r\n", piece,
             pieces});
    REQUIRE(ended);
    CHECK(*ended == link_end::complete);
    CHECK(body == max_answer_bytes);
    CHECK(most_unparsed <= max_framing_bytes + 2 * read_chunk_bytes);
}

namespace
{

/// Calls of the store or of another node, on the test's own event loop.
struct endless_reply_fixture
{
    boost::asio::io_context io;
    exchange_runtime runtime = network_runtime(io);
    std::vector<exchange_reply> replies;

    void call(std::string const& address)
    {
        runtime.exchange(
            {address, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", {seconds(5)}},
            [this](exchange_reply reply)
            { replies.push_back(std::move(reply)); });
    }

    bool await(std::size_t count)
    {
        auto const end = std::chrono::steady_clock::now() + seconds(6);
        while (replies.size() < count && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(2));
            io.restart();
        }
        return replies.size() == count;
    }
};

endless_answer const endless_reply{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400\r\n" + std::string(1'024, 'x') + "\r\n"};

} // namespace

TEST_CASE_METHOD(
    endless_reply_fixture,
    "endless bytes: a reply of the store without end counts as none")
{
    endless_server server(endless_reply);
    call(server.address());
    REQUIRE(await(1));
    CHECK_FALSE(replies[0].answered);
    CHECK(replies[0].sent);
    CHECK(replies[0].body.size() <= max_reply_bytes);
    CHECK(server.sent() <= 2 * max_reply_bytes + endless_server::kernel_bytes);
}

TEST_CASE_METHOD(
    endless_reply_fixture, "endless bytes: a reply of the greatest size "
                           "counts, one byte more does not")
{
    auto const extra = GENERATE(std::size_t(0), std::size_t(1));
    auto const length = max_reply_bytes + extra;
    endless_server server(
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
             "\r\n\r\n",
         "x", length});
    call(server.address());
    REQUIRE(await(1));
    CHECK(replies[0].answered == (extra == 0));
    if (extra == 0)
        CHECK(replies[0].body.size() == max_reply_bytes);
}

TEST_CASE_METHOD(
    endless_reply_fixture,
    "endless bytes: replies that come at a time share their limit")
{
    // Each ends below its own limit, if at all.
    std::vector<std::unique_ptr<endless_server>> servers;
    constexpr std::size_t count = 6;
    constexpr std::size_t piece_bytes = 65'536;
    auto const piece = std::string(piece_bytes, 'x');
    for (std::size_t i = 0; i < count; ++i)
    {
        servers.push_back(std::make_unique<endless_server>(endless_answer{
            "HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(60 * piece_bytes) + "\r\n\r\n",
            piece,
            59,
            {},
            milliseconds(5)}));
        call(servers.back()->address());
    }
    REQUIRE(await(count));
    std::size_t held = 0;
    for (auto const& one : replies)
    {
        CHECK_FALSE(one.answered);
        held += one.body.size();
    }
    CHECK(held <= 2 * max_held_reply_bytes);
}

namespace
{

struct answer_memory_fixture
{
    static constexpr std::size_t limit = 1'000;
    answer_memory memory{limit};
    std::vector<std::string> dropped;

    void append(held_answer& to, std::string const& name, std::size_t bytes)
    {
        to.append(
            memory, std::string(bytes, 'x'),
            [this, name] { dropped.push_back(name); });
    }
};

} // namespace

TEST_CASE_METHOD(
    answer_memory_fixture,
    "answer memory: the longest answer gives way to the others")
{
    held_answer longest;
    held_answer other;
    append(longest, "longest", 600);
    append(other, "other", 300);
    CHECK(memory.size() == 900);
    append(other, "other", 101);
    CHECK(dropped == std::vector<std::string>{"longest"});
    CHECK(longest.text().empty());
    CHECK(other.text().size() == 401);
    CHECK(memory.size() == 401);
}

TEST_CASE_METHOD(
    answer_memory_fixture, "answer memory: one that ends makes room")
{
    for (int i = 0; i < 20; ++i)
    {
        held_answer one;
        append(one, "one", 900);
        held_answer cleared;
        append(cleared, "cleared", 100);
        cleared.clear();
        append(cleared, "cleared", 100);
    }
    CHECK(dropped.empty());
    CHECK(memory.size() == 0);
}

TEST_CASE_METHOD(
    answer_memory_fixture,
    "answer memory: an answer that alone exceeds the limit gives way")
{
    held_answer one;
    append(one, "one", limit);
    CHECK(dropped.empty());
    append(one, "one", 1);
    CHECK(dropped == std::vector<std::string>{"one"});
    CHECK(memory.size() == 0);
}
