#include "entry_world.hpp"

#include "platform/documents.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;

/// Rows of the engines' table as other writers may store them.
struct foreign_entry_fixture : entry_world
{
    json const whole = engine_row("desk", "127.0.0.1:9", 1'700'000'000'000);

    static std::optional<engine_entry> decode(json const& entry)
    {
        findings problems;
        auto decoded = platform::decode_engine("e1", entry.dump(), problems);
        CHECK(decoded.has_value() == problems.empty());
        return decoded;
    }

    json changed(char const* field, json const& value) const
    {
        auto to = whole;
        to[field] = value;
        return to;
    }
};

} // namespace

TEST_CASE_METHOD(
    foreign_entry_fixture, "foreign entry: a complete one is an engine")
{
    auto const got = decode(whole);
    REQUIRE(got);
    CHECK(got->incarnation.started_at_ms == 1'700'000'000'000);
    CHECK(got->state == engine_state::ready);
}

TEST_CASE_METHOD(
    foreign_entry_fixture, "foreign entry: without a field it names no engine")
{
    for (auto const* field : {"service", "addr", "zone", "slots", "state"})
    {
        auto entry = whole;
        entry.erase(field);
        INFO(field);
        CHECK_FALSE(decode(entry));
    }
}

TEST_CASE_METHOD(
    foreign_entry_fixture,
    "foreign entry: the version of an engine's software is text or a number")
{
    CHECK(decode(changed("version", "v1.2"))->version == "v1.2");
    CHECK(decode(changed("version", 7))->version == "7");
    CHECK(decode(changed("version", nullptr))->version.empty());
    CHECK_FALSE(decode(changed("version", json::array({1}))));
    CHECK_FALSE(decode(changed("version", "a version")));
    CHECK_FALSE(decode(changed("version", std::string(300, 'v'))));
}

TEST_CASE_METHOD(
    foreign_entry_fixture,
    "foreign entry: an engine need not say when it started")
{
    auto entry = whole;
    entry.erase("born");
    auto const got = decode(entry);
    REQUIRE(got);
    CHECK(got->incarnation < decode(whole)->incarnation);
}

TEST_CASE_METHOD(
    foreign_entry_fixture,
    "foreign entry: with a value of another kind it names no engine")
{
    for (auto const* field :
         {"service", "addr", "zone", "slots", "state", "born"})
    {
        for (auto const& value :
             {json(nullptr), json(true), json(-1), json(1.5), json(""),
              json::array(), json::object(), json(1e300),
              json(18'446'744'073'709'551'615U)})
        {
            INFO(field << " " << value.dump());
            CHECK_FALSE(decode(changed(field, value)));
        }
    }
    CHECK_FALSE(decode(changed("state", "resting")));
    CHECK_FALSE(decode(changed("addr", "nowhere")));
    CHECK_FALSE(decode(changed("addr", "127.0.0.1:99999")));
    CHECK_FALSE(decode(json::array({whole})));
}

TEST_CASE_METHOD(
    foreign_entry_fixture, "foreign entry: valid engines beside them are used")
{
    store.put("servers", "f1", "no entry");
    store.put("servers", "f2", {{"service", 7}});
    store.put("servers", "f3", changed("state", "resting"));
    store.put("servers", "f4", changed("service", "nobody's"));
    store.put("servers", "f5", changed("slots", json::array()));
    store.put_bytes("servers", "f6", "\xff\xfe{\"service\":");
    store.put_bytes("servers", "f7", std::string(40'000, '['));
    store.put_bytes("servers", "\xc3\xa9 f8", "");
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 8; ++i)
        CHECK(
            caller.call(post("/safe/x", "r" + std::to_string(i))).status ==
            200);
}

TEST_CASE_METHOD(
    foreign_entry_fixture,
    "foreign entry: in place of an engine's own it removes the engine")
{
    auto& node = start_node();
    store.put("servers", "da", {{"service", "desk"}});
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    std::size_t seen = 0;
    // Once the node reads the row, about half a second later, all calls go to
    // the other service.
    while (std::chrono::steady_clock::now() < end)
    {
        seen = service_a.calls().size();
        test_caller caller(node.settings.listen_callers);
        CHECK(caller.call(post("/safe/x", "r")).status == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(service_a.calls().size() == seen);
    CHECK(service_b.calls().size() > 10);
}
