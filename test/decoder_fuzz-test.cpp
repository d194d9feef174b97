#include "base64.hpp"
#include "platform/answer_id.hpp"
#include "platform/call_codec.hpp"
#include "platform/documents.hpp"
#include "platform/store_codec.hpp"

#include "entry/crash_message.hpp"
#include "entry/event_stream.hpp"
#include "entry/http_link.hpp"
#include "entry/load_summary.hpp"
#include "entry/origin_message.hpp"
#include "entry/quota_message.hpp"
#include "entry/version_register.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/start_lease.hpp>
#include <walnutmill/turn_history.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using nlohmann::json;

/// Feeds randomly mutated valid input to each decoder. The environment
/// variables WALNUTMILL_FUZZ_SEED and WALNUTMILL_FUZZ_ROUNDS set the seed and
/// the number of rounds.
struct fuzz_fixture
{
    std::mt19937_64 random{number_of("WALNUTMILL_FUZZ_SEED", 20'261'203)};
    std::uint64_t rounds = number_of("WALNUTMILL_FUZZ_ROUNDS", 4'000);

    static std::uint64_t number_of(char const* name, std::uint64_t fallback)
    {
        auto const* text = std::getenv(name);
        return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
    }

    std::size_t below(std::size_t end) { return random() % end; }

    /// Replaces, removes, inserts, duplicates or truncates bytes at random.
    std::string mutate(std::string text)
    {
        static std::string const syntax_characters =
            "{}[]\",:0-9.eE\\\r\n\t \xff";
        auto const changes = 1 + below(6);
        for (std::size_t i = 0; i < changes && !text.empty(); ++i)
        {
            auto const at = below(text.size());
            switch (below(5))
            {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, 1 + below(12));
                break;
            case 2:
                text.insert(
                    at, 1, syntax_characters[below(syntax_characters.size())]);
                break;
            case 3:
                text.insert(at, text.substr(at, 1 + below(40)));
                break;
            default:
                text.resize(at);
                break;
            }
        }
        return text;
    }

    /// \param decode must neither throw nor read out of bounds; sanitizer
    /// builds detect the latter
    template<class Decode>
    void run_mutated(
        std::vector<std::string> const& valid_inputs, Decode const& decode)
    {
        for (std::uint64_t i = 0; i < rounds; ++i)
        {
            auto const bytes = mutate(valid_inputs[below(valid_inputs.size())]);
            INFO("round " << i << ", base64 " << to_base64(bytes));
            CHECK_NOTHROW(decode(bytes));
        }
    }
};

std::string const engine_document =
    R"({"service":"desk","addr":"10.0.0.1:80","zone":"z1","version":1,)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"seq":3,)"
    R"("born":1700000000000})";

std::string const configuration_document =
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("kind":"stream","retain":true,"retain_s":60,"timeout_ms":3000,)"
    R"("split":[{"service":"s","weight":2}],"service":"s"}],)"
    R"("services":[{"name":"s","max_conns":4,"engine":{"slots":8,)"
    R"("stride":4}}],"limits":{"max_header_bytes":100},)"
    R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,)"
    R"("rate_per_s":3,"burst":9}]})";

std::string const request_bytes =
    "POST /a/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: t1\r\nDeadline-Ms: 3000\r\n"
    "Token-Usage: 10,20\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
    "Token-Budget: 400\r\nFinish-Ms: 900.5\r\nLast-Event-Id: 4\r\n"
    "Resumes: t0\r\n"
    "X-Api-Key: k1\r\nTenant: t\r\n"
    "Connection: close, X-Own\r\nX-Own: a\r\nContent-Length: 0\r\n\r\n";

std::string const answer_bytes =
    "HTTP/1.1 200 OK\r\nRequest-Id: t1\r\nResponse-Stamp: s\r\n"
    "Server-Load: 3,0,8\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_CASE_METHOD(fuzz_fixture, "fuzz: documents of the store")
{
    run_mutated(
        {engine_document},
        [](std::string const& bytes)
        {
            findings problems;
            auto const one = platform::decode_engine("e", bytes, problems);
            if (one.has_value() != problems.empty())
                throw std::runtime_error("silent failure");
        });
    run_mutated(
        {configuration_document},
        [](std::string const& bytes)
        {
            findings problems;
            auto const one = platform::decode_configuration(bytes, problems);
            if (one.has_value() != problems.empty())
                throw std::runtime_error("silent failure");
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: the store's replies")
{
    json const row{
        {"table", "servers"},
        {"part", ""},
        {"key", "e"},
        {"ver", 4},
        {"value", to_base64(engine_document)}};
    json const reply{
        {"rows", {row, row}},
        {"ver", 9},
        {"truncated", true},
        {"now_ms", 1234}};
    run_mutated(
        {reply.dump()},
        [](std::string const& bytes)
        {
            transaction_result written;
            range_result read;
            platform::decode_transaction({200, bytes}, written);
            platform::decode_range({200, bytes}, read);
            changes_result changes;
            platform::decode_changes({200, bytes}, changes);
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: headers of requests and responses")
{
    namespace http = boost::beast::http;
    run_mutated(
        {request_bytes},
        [](std::string const& bytes)
        {
            http::request_parser<http::string_body> parser;
            boost::system::error_code error;
            parser.put(boost::asio::buffer(bytes), error);
            findings problems;
            if (!error && parser.is_header_done())
                platform::decode_call(parser.get().base(), problems);
        });
    run_mutated(
        {answer_bytes},
        [](std::string const& bytes)
        {
            http::response_parser<http::string_body> parser;
            boost::system::error_code error;
            parser.put(boost::asio::buffer(bytes), error);
            if (error || !parser.is_header_done())
                return;
            platform::decode_answer(parser.get().base());
            platform::answers_request(parser.get().base(), request_id("t1"));
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: requests under which engines ended")
{
    crash_message message;
    suspect_request one;
    one.label = {"archive", "p1", "turns", "r1"};
    one.runs.push_back({1, "e1@5", run_state::ended, {}, {}});
    message.requests.emplace_back(7, one);
    run_mutated(
        {encode(message, time_point())}, [](std::string const& bytes)
        { decode_crash_message(bytes, time_point(std::chrono::hours(1))); });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: loads and speeds of engines")
{
    load_message message{
        true, "n1", 7, {{{11, 2}}, {{11, 250, 40}}, {{5, 70}}, 3}};
    auto const without_speeds = encode(message);
    message.report.speeds.figures = {{11, 250, 40}, {12, 100, 0}};
    message.report.speeds.speeds = {{11, 300, 200}, {12, 100, 100}};
    run_mutated(
        {without_speeds, encode(message)},
        [](std::string const& bytes)
        {
            auto const got = decode_load_message(bytes);
            if (!got)
                return;
            auto const& speeds = got->report.speeds;
            auto const figures =
                speeds.figures.value_or(std::vector<machine_figure>());
            if (figures.size() > max_sum_figures ||
                speeds.speeds.size() > max_sum_speeds)
                throw std::runtime_error("more speeds than permitted");
            for (auto const& one : figures)
            {
                if (one.percent < 1 || one.percent > 10'000)
                    throw std::runtime_error("figure out of range");
            }
            // What a node forwards can be read again.
            if (!decode_load_message(encode(*got)))
                throw std::runtime_error("not readable once encoded");
            load_summary summary;
            time_point const now{std::chrono::hours(1)};
            summary.set(got->node, got->report, now);
            summary.speeds.next_for("n2", now);
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: origins of streams, and their versions")
{
    origin_message message;
    message.type = origin_message_type::answer;
    message.stream = 7;
    message.node = "n1";
    message.origin = stream_origin{service_name("llm"), "1.0"};
    run_mutated(
        {encode(message)},
        [](std::string const& bytes) { decode_origin_message(bytes); });
    std::vector<registered_version> const versions{
        {"1.0", std::chrono::milliseconds(1), std::chrono::milliseconds(9)},
        {"1.1", std::chrono::milliseconds(4), std::chrono::milliseconds(12)}};
    run_mutated(
        {encode(versions)},
        [](std::string const& bytes) { decode_registered_versions(bytes); });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: messages on limits")
{
    quota_message ask;
    ask.node = "n1";
    ask.request = {workspace_name("archive"), {3, 9}};
    quota_message answer;
    answer.type = quota_message_type::answer;
    answer.answer = {
        quota_decision::over_limit, std::chrono::milliseconds(120)};
    run_mutated(
        {encode(ask), encode(answer)},
        [](std::string const& bytes) { decode_quota_message(bytes); });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: events of a stream")
{
    run_mutated(
        {"id: 1\ndata: some\n\nid: 2\ndata: more\ndata: lines\n\n"},
        [](std::string const& bytes)
        {
            event_splitter events;
            auto const half = bytes.size() / 2;
            events.feed(std::string_view(bytes).substr(0, half));
            events.feed(std::string_view(bytes).substr(half));
        });
}

TEST_CASE_METHOD(
    fuzz_fixture, "fuzz: events of a stream, divided at random, with a limit")
{
    static constexpr std::size_t limit = 40;
    run_mutated(
        {"id: 1\ndata: some\n\nid: 2\r\ndata: more\r\ndata: lines\r\n\r\n: "
         "comment\n\n"},
        [this](std::string const& bytes)
        {
            event_splitter whole(limit);
            event_splitter divided(limit);
            auto const expected = whole.feed(bytes);
            std::vector<server_sent_event> got;
            for (std::string_view rest = bytes; !rest.empty();)
            {
                auto const size = std::min(1 + below(9), rest.size());
                for (auto& one : divided.feed(rest.substr(0, size)))
                    got.push_back(std::move(one));
                rest.remove_prefix(size);
                if (divided.buffered_bytes() > limit)
                    throw std::runtime_error("more bytes held than allowed");
            }
            if (got.size() != expected.size() ||
                whole.too_long() != divided.too_long() ||
                whole.partial() != divided.partial())
                throw std::runtime_error("the division changes the events");
            for (std::size_t i = 0; i < got.size(); ++i)
            {
                if (got[i].text != expected[i].text ||
                    got[i].id != expected[i].id ||
                    got[i].data != expected[i].data ||
                    got[i].text.size() > limit)
                    throw std::runtime_error("the division changes an event");
            }
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: bodies of answers, divided at random")
{
    namespace http = boost::beast::http;
    std::string const head = "HTTP/1.1 200 OK\r\nRequest-Id: t1\r\n";
    static constexpr std::uint64_t limit = 60;
    run_mutated(
        {head + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
                "0;x\r\nTrailer: t\r\n\r\n",
         head + "Content-Length: 5\r\n\r\nhello", head + "\r\nhello",
         "HTTP/1.1 103 Early\r\n\r\n" + head + "\r\nhello"},
        [this](std::string bytes)
        {
            http::response_parser<partial_body> parser;
            parser.eager(true);
            parser.header_limit(100);
            parser.body_limit(limit);
            boost::system::error_code error;
            std::string held;
            std::uint64_t body = 0;
            while (!bytes.empty() && !parser.is_done() &&
                   (!error || error == http::error::need_more))
            {
                auto const size = std::min(1 + below(40), bytes.size());
                held.append(bytes, 0, size);
                bytes.erase(0, size);
                std::size_t used = 1;
                while (used > 0 && !held.empty() && !parser.is_done())
                {
                    used = parser.put(boost::asio::buffer(held), error);
                    held.erase(0, used);
                    if (error && error != http::error::need_more)
                        return;
                }
                std::string piece;
                piece.swap(parser.get().body());
                body += piece.size();
            }
            if (body > limit)
                throw std::runtime_error("a longer body than allowed");
        });
}

TEST_CASE_METHOD(fuzz_fixture, "fuzz: the nodes' own rows")
{
    stored_turn turn;
    turn.id = request_id("t1");
    turn.chain = {request_id("t0")};
    turn.input = "in";
    turn.output = "out\n";
    program_account account;
    account.spent = 12;
    account.reserved["n.1"] = {100, 3};
    start_lease lease;
    lease.holder = "n.1";
    lease.former.push_back({"n.0", 1'700'000'000});
    run_mutated(
        {encode(turn), encode(account), encode(lease), "turn 2 1700000000\nx"},
        [](std::string const& bytes)
        {
            decode_turn(request_id("t1"), bytes);
            decode_account(bytes);
            decode_lease(bytes);
            decode_turn_header(bytes);
        });
}
