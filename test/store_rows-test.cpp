#include "store_rows.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace
{

using nlohmann::json;
using walnutmill::testing::store_rows;

struct store_rows_fixture
{
    store_rows rows;

    static json row(std::string const& partition, std::string const& key)
    {
        return {{"table", "t"}, {"part", partition}, {"key", key}};
    }
    int write(std::vector<json> const& written, json const& conditions = {})
    {
        auto writes = json::array();
        for (auto one : written)
        {
            one["value"] = "dg==";
            writes.push_back(one);
        }
        json const body{
            {"expect_rev", conditions.is_null() ? json::array() : conditions},
            {"writes", writes},
            {"remove", json::array()}};
        return rows.respond("/rows-tx", body.dump()).status;
    }
    json answer(std::string const& target)
    {
        return json::parse(rows.respond(target, {}).body);
    }
    std::vector<std::string> keys(std::string const& target)
    {
        auto const answered = answer(target);
        std::vector<std::string> to;
        for (auto const& one : answered.at("rows"))
            to.push_back(one["key"]);
        return to;
    }
    std::uint64_t version()
    {
        return answer("/rows-get?table=t&part=p")["ver"];
    }
};

using keys_type = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(
    store_rows_fixture, "store rows: a range has its first key, not its last")
{
    write({row("o", "b"), row("p", "a"), row("p", "b"), row("p", "c")});
    CHECK(keys("/rows-get?table=t&part=p&from=a&to=c") == keys_type{"a", "b"});
    CHECK(keys("/rows-get?table=t&part=p&from=b") == keys_type{"b", "c"});
    CHECK(keys("/rows-get?table=u&part=p").empty());
}

TEST_CASE_METHOD(
    store_rows_fixture, "store rows: a feed has all rows of a transaction")
{
    write({row("p", "a")});
    auto const before = version();
    write({row("p", "c"), row("p", "b")});
    auto const feed = "/rows-feed?table=t&after=" + std::to_string(before);
    CHECK(keys(feed) == keys_type{"b", "c"});
}

TEST_CASE_METHOD(
    store_rows_fixture, "store rows: a feed has a row's newest change only")
{
    write({row("p", "a")});
    write({row("p", "b")});
    write({row("p", "a")});
    CHECK(keys("/rows-feed?table=t&after=0") == keys_type{"b", "a"});
}

TEST_CASE_METHOD(
    store_rows_fixture, "store rows: a removed row is in no range and no feed")
{
    rows.put("t", "a", "v");
    rows.put("t", "b", "v");
    rows.remove("t", "a");
    CHECK(rows.count("t") == 1);
    CHECK(keys("/rows-get?table=t&part=") == keys_type{"b"});
    CHECK(keys("/rows-feed?table=t&after=0") == keys_type{"b"});
}

TEST_CASE_METHOD(
    store_rows_fixture, "store rows: a transaction on an old version conflicts")
{
    write({row("p", "a")});
    auto condition = row("p", "a");
    condition["ver"] = version() + 1;
    CHECK(write({row("p", "a")}, json::array({condition})) == 412);
    condition["ver"] = version();
    CHECK(write({row("p", "a")}, json::array({condition})) == 200);
}
