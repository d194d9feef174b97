/// \file
/// Rows of the store that other programs left in an unusual form: nodes go on,
/// follow the tables and use the other rows.

#include "entry_world.hpp"
#include "fake_store.hpp"

#include "entry/platform_view.hpp"

#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t deep = 200'000;

std::string repeated(std::string const& text, std::size_t times)
{
    std::string to;
    for (std::size_t i = 0; i < times; ++i)
        to += text;
    return to;
}

std::string nested_json(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// An engine entry as JSON, in which further fields can be placed.
std::string
engine_text(std::string const& address, std::string const& more = {})
{
    return R"({"service":"desk","addr":")" + address +
           R"(","zone":"z1","version":1,"slots":8,"state":"ready",)"
           R"("cold_left_ms":0,"seq":1,"born":1700000000000)" +
           more + "}";
}

/// One view over an in-memory store, on a clock that the test advances.
struct odd_view_fixture
{
    manual_clock clock;
    fake_store rows;
    std::multimap<time_point, std::function<void()>> timers;
    std::set<std::string> engines;
    std::size_t members = 0;
    std::string logged;
    line_log log{
        "n1", clock.fn(),
        [this](std::string_view bytes)
        {
            logged.append(bytes);
            return bytes.size();
        },
        log_limits()};
    std::unique_ptr<platform_view> view;

    odd_view_fixture()
    {
        clock.advance(seconds(100));
        put_engine("e1", engine_text("10.0.0.9:80"));
        platform_view::hooks to;
        to.on_configuration = [](auto const&) {};
        to.on_engines = [this](std::vector<engine_entry> const& now)
        {
            engines.clear();
            for (auto const& one : now)
                engines.insert(one.id.str());
        };
        to.on_members = [this](std::vector<entry_member> const& now)
        { members = now.size(); };
        to.schedule_after = [this](duration after, std::function<void()> what)
        { timers.emplace(clock.now() + after, std::move(what)); };
        view = std::make_unique<platform_view>(
            rows.calls(), clock.fn(), seeded_random(1), log,
            entry_member{"n1", "10.0.0.1:7000", "z1", "n1.1", 1}, seconds(1),
            std::move(to));
    }

    void
    put(std::string const& table, std::string const& partition,
        std::string const& key, std::string value)
    {
        row_transaction one;
        one.writes.push_back({{table, partition, key}, std::move(value)});
        rows.calls().commit(
            std::move(one), seconds(1), [](transaction_result const&) {});
        rows.run();
    }

    void put_engine(std::string const& id, std::string value)
    {
        put("servers", "", id, std::move(value));
    }

    void put_member(std::string const& node, std::string value)
    {
        put("walnutmill-nodes", "members", node, std::move(value));
    }

    void remove_engine(std::string const& id)
    {
        row_transaction one;
        one.removals.push_back({"servers", "", id});
        rows.calls().commit(
            std::move(one), seconds(1), [](transaction_result const&) {});
        rows.run();
    }

    void run_for(duration time)
    {
        auto const end = clock.now() + time;
        rows.run();
        while (!timers.empty() && timers.begin()->first <= end)
        {
            auto const first = timers.begin();
            clock.advance(first->first - clock.now());
            auto const step = std::move(first->second);
            timers.erase(first);
            step();
            rows.run();
        }
        clock.advance(end - clock.now());
        log.flush();
    }

    std::size_t lines_of(std::string const& event) const
    {
        std::size_t found = 0;
        auto const text = "\"event\":\"" + event + "\"";
        for (auto at = logged.find(text); at != std::string::npos;
             at = logged.find(text, at + 1))
            ++found;
        return found;
    }

    /// Checks that engines that come and go later are seen.
    void check_followed()
    {
        auto before = engines;
        put_engine("zz", engine_text("10.0.0.8:80"));
        run_for(seconds(4));
        CHECK(engines.count("zz") == 1);
        remove_engine("zz");
        run_for(seconds(4));
        CHECK(engines == before);
    }
};

/// A node on the loopback interface, with a stand-in for the store.
struct odd_row_fixture : entry_world
{
    int engines = 4;

    void check_served(node const& one)
    {
        test_caller caller(one.settings.listen_callers);
        for (int i = 0; i < 4; ++i)
            CHECK(
                caller.call(post("/safe/x", "r" + std::to_string(i))).status ==
                200);
    }

    /// Checks that calls are served and that engines that come and go later
    /// are seen.
    void check_followed(node const& one)
    {
        CHECK(eventually([&] { return knows_engines(one, engines); }));
        check_served(one);
        store.put_bytes("servers", "zz", engine_text(service_a.address()));
        CHECK(eventually([&] { return knows_engines(one, engines + 1); }));
        store.remove("servers", "zz");
        CHECK(eventually([&] { return knows_engines(one, engines); }));
        check_served(one);
    }
};

} // namespace

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: an engine with an odd field that is not used "
                      "is an engine")
{
    auto const* const more = GENERATE(
        R"(,"x":1e999)", R"(,"x":-1e999)", R"(,"cold_left_ms":1e999)",
        R"(,"x":99999999999999999999999999)", R"(,"x":"\ud800")",
        R"(,"\ud800":1)", R"(,"x":{"addr":1e999})", R"(,"x":{"addr":[7]})");
    INFO(more);
    put_engine("e2", engine_text("10.0.0.7:80", more));
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1", "e2"});
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture,
    "odd rows: a deeply nested field of an engine that is not used is ignored")
{
    put_engine("e2", engine_text("10.0.0.7:80", ",\"x\":" + nested_json(deep)));
    put_engine(
        "e3", engine_text(
                  "10.0.0.6:80", ",\"x\":" + repeated("{\"a\":", deep) + "1" +
                                     std::string(deep, '}')));
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1", "e2", "e3"});
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture,
    "odd rows: a deeply nested entry or used field is no engine")
{
    put_engine("e2", nested_json(deep));
    put_engine("e3", std::string(deep, '['));
    put_engine("e4", repeated("{\"service\":", deep));
    for (auto const* field :
         {"service", "addr", "zone", "slots", "state", "version", "born"})
    {
        auto entry = json::parse(engine_text("10.0.0.7:80"));
        entry.erase(field);
        auto text = entry.dump();
        text.pop_back();
        put_engine(
            std::string("f-") + field,
            text + ",\"" + field + "\":" + nested_json(deep) + "}");
    }
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1"});
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: an engine at an address to which no "
                      "connection can be made is not used")
{
    auto const* const address = GENERATE(
        "127.0.0.1:-1", "127.0.0.1:-65535", "127.0.0.1:0", "127.0.0.1:+9",
        "127.0.0.1: 9", "127.0.0.1:9 ", "127.0.0.1:65536", "127.0.0.1:99999",
        "127.0.0.1:4294967305", "127.0.0.1:18446744073709551625",
        "127.0.0.1:1e3", "127.0.0.1:0x50", "127.0.0.1:", "127.0.0.1", ":80",
        "::1:80", "0.0.0.0:9", "255.255.255.255:9", "224.0.0.1:9",
        R"(127.0.0.1\u0000:9)", R"(127.0.0.1\u0000\r\nX: y:9)", "127.1:9",
        "127.0.0.256:9", " 127.0.0.1:9", "http://127.0.0.1:9", "host:9");
    INFO(address);
    put_engine("e2", engine_text(address));
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1"});
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: an entry that names no engine is logged once "
                      "however often it is written")
{
    view->start();
    run_for(seconds(2));
    for (int i = 0; i < 10; ++i)
    {
        put_engine(
            "e2", engine_text("10.0.0.7:-1", ",\"n\":" + std::to_string(i)));
        run_for(seconds(2));
    }
    CHECK(engines == std::set<std::string>{"e1"});
    CHECK(lines_of("engine.unreadable") == 1);
    put_engine("e2", "[]");
    run_for(seconds(2));
    CHECK(lines_of("engine.unreadable") == 2);
    put_engine("e2", engine_text("10.0.0.7:80"));
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1", "e2"});
}

TEST_CASE_METHOD(
    odd_view_fixture,
    "odd rows: an entry whose long id is cut inside a character is logged")
{
    std::string const id = GENERATE(
        std::string(63, 'a') + "\xc3\xa9",
        std::string(62, 'a') + "\xe2\x82\xac", std::string(199, '\xff'),
        std::string("a\xc3"), std::string(), std::string(100, '\0'));
    put_engine(id, "no entry");
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1"});
    REQUIRE(lines_of("engine.unreadable") == 1);
    auto const from = logged.rfind('\n', logged.find("engine.unreadable")) + 1;
    CHECK(json::accept(logged.substr(from, logged.find('\n', from) - from)));
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: an engine with an id of any bytes is an "
                      "engine")
{
    std::string const id = GENERATE(
        std::string(200, 'a'), std::string("a\xc3"), std::string("\xff"),
        std::string("a\0b", 3), std::string("a\r\nb: c"));
    put_engine(id, engine_text("10.0.0.7:80"));
    view->start();
    run_for(seconds(2));
    CHECK(engines == std::set<std::string>{"e1", id});
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: a member's row that is no member is skipped")
{
    std::string const odd = GENERATE(
        std::string(deep, '\x81'), repeated("\xa1\x61\x61", deep),
        std::string(deep, '\x9f'), std::string(deep, '\x5f'),
        std::string(deep, '\x7f'), std::string(deep, '\xc1'),
        std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"),
        std::string("\xa1\x01\x02"), std::string("\xf9\x7e"), std::string(),
        std::string("{}"), nested_json(deep));
    INFO(
        odd.size() << " bytes from "
                   << int(odd.empty() ? 0
                                      : static_cast<unsigned char>(odd[0])));
    put_member("odd", odd);
    put_member(
        "n2", encode(entry_member{"n2", "10.0.0.2:7000", "z1", "n2.1", 1}));
    view->start();
    run_for(seconds(4));
    CHECK(members == 1);
    check_followed();
}

TEST_CASE_METHOD(
    odd_view_fixture, "odd rows: an odd configuration does not end the view")
{
    auto const document = [](std::string const& more, std::string const& share)
    {
        return R"({"version":3,"routes":[{"name":"r","host":"h",)"
               R"("prefix":"/a/","service":"s")" +
               share + R"(}],"services":[{"name":"s"}])" + more + "}";
    };
    std::string const odd = GENERATE_COPY(
        nested_json(deep), std::string(deep, '['),
        document(",\"x\":" + nested_json(deep), ""),
        document(",\"tenants\":" + nested_json(deep), ""),
        document(
            ",\"tenants\":[{\"name\":\"t\",\"api_keys\":" + nested_json(deep) +
                "}]",
            ""),
        document("", ",\"x\":" + nested_json(deep)),
        document("", ",\"split\":" + nested_json(deep)),
        document("", ",\"retain_s\":1e300"), document("", ",\"retain_s\":1e17"),
        document("", ",\"timeout_ms\":-1e300"), document(",\"x\":1e999", ""));
    INFO(odd.substr(0, 150));
    put("op", "", "config", odd);
    view->start();
    run_for(seconds(4));
    check_followed();
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: a node uses the engines beside odd entries and follows the list")
{
    store.put_bytes("servers", "o1", nested_json(deep));
    store.put_bytes("servers", "o2", std::string(deep, '['));
    store.put_bytes("servers", "o3", engine_text("127.0.0.1:-1"));
    store.put_bytes("servers", "o4", engine_text("0.0.0.0:9"));
    store.put_bytes("servers", "o5", engine_text("::1:9"));
    store.put_bytes("servers", "o6", engine_text("127.0.0.1:99999"));
    store.put_bytes("servers", std::string(199, 'o') + "\xc3\xa9", "");
    store.put_bytes("servers", "%:o7%FF", engine_text("127.0.0.1:0"));
    store.put_bytes(
        "servers", "p1",
        engine_text(service_a.address(), ",\"x\":" + nested_json(deep)));
    store.put_bytes(
        "servers", "p2", engine_text(service_a.address(), ",\"x\":1e999"));
    store.put_bytes(
        "servers", std::string(200, 'p'), engine_text(service_a.address()));
    engines += 3;
    check_followed(start_node());
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: entries that turn odd later don't end a node that reads them")
{
    auto& node = start_node();
    check_followed(node);
    store.put_bytes("servers", "o1", nested_json(deep));
    store.put_bytes("servers", "o2", engine_text("127.0.0.1:+9"));
    store.put_bytes("servers", service_b.id(), engine_text("127.0.0.1:-1"));
    --engines;
    check_followed(node);
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: a row of which the store's answer holds odd fields is skipped")
{
    std::string const row = GENERATE(
        std::string(R"("key":"o","ver":"seven","value":"")"),
        std::string(R"("key":"o","ver":-1,"value":"")"),
        std::string(R"("key":"o","ver":1e999,"value":"")"),
        std::string(R"("key":"o","ver":99999999999999999999999,"value":"")"),
        std::string(R"("key":"o","ver":null,"value":"")"),
        std::string(R"("key":"o","ver":[7],"value":"")"),
        std::string(R"("key":7,"ver":1,"value":"")"),
        std::string(R"("key":null,"ver":1,"value":"")"),
        std::string(R"("ver":1,"value":"")"),
        std::string(R"("key":"\ud800","ver":1,"value":"")"),
        std::string("\"key\":\"o\xff\",\"ver\":1,\"value\":\"\""),
        std::string("\"key\":\"o\xc3\",\"ver\":1,\"value\":\"\""),
        std::string("\"key\":\"o\x01\",\"ver\":1,\"value\":\"\""),
        std::string(R"("key":"o","part":null,"ver":1,"value":"")"),
        std::string(R"("key":"o","table":5,"ver":1,"value":"")"),
        std::string(R"("key":"o","tombstone":"yes","ver":1,"value":"")"));
    INFO(row);
    store.put_raw_row("servers", "o", "{" + row + "}");
    check_followed(start_node());
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: a value that the store's answer holds nested deeply is skipped")
{
    store.put_raw_row(
        "servers", "o",
        R"({"key":"o","ver":1,"value":)" + nested_json(deep) + "}");
    store.put_raw_row(
        "servers", "p",
        R"({"key":"p","ver":1,"value":"","x":)" + repeated("{\"a\":", deep) +
            "1" + std::string(deep, '}') + "}");
    check_followed(start_node());
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: a later row with odd fields does not hide a change of the "
    "configuration")
{
    auto& node = start_node();
    check_served(node);
    store.put_raw_row("op", "odd", R"({"key":"odd","ver":"x","value":""})");
    auto changed = configuration();
    changed["version"] = 4;
    changed["routes"][2]["prefix"] = "/later/";
    store.put("op", "config", changed);
    CHECK(eventually(
        [&]
        {
            test_caller caller(node.settings.listen_callers);
            return caller.call(post("/later/x", "r")).status == 200;
        }));
}

TEST_CASE_METHOD(
    odd_row_fixture,
    "odd rows: a foreign key in the form of an encoded one hides no engine")
{
    store.put_bytes(
        "servers", "%:" + service_a.id(), engine_text("127.0.0.1:9"));
    store.remove("servers", service_b.id());
    auto& node = start_node();
    CHECK(eventually([&] { return knows_engines(node, engines); }));
    check_served(node);
    CHECK(service_a.calls().size() == 4);
}
