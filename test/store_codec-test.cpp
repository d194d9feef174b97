/// \file
/// Requests for the changes of a table, and the replies to them.

#include "platform/store_codec.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace
{

using namespace walnutmill;

} // namespace

TEST_CASE("store codec: changes are requested without waiting for one")
{
    auto const request = platform::encode_changes("a table", 530);
    CHECK(request.method == "GET");
    CHECK(request.target == "/rows-feed?table=a%20table&after=530&wait_ms=0");
    CHECK(request.body.empty());
}

TEST_CASE("store codec: changes of a row are decoded to its newest state")
{
    changes_result changes;
    REQUIRE(platform::decode_changes(
        {200, R"({"rows":[
            {"table":"t","part":"","key":"a","value":"b25l","ver":5},
            {"table":"t","part":"","key":"b","value":"b25l","ver":6},
            {"table":"t","part":"","key":"a","value":"dHdv","ver":7},
            {"table":"t","part":"","key":"b","tombstone":true,"ver":8}],
            "ver":9,"now_ms":1})"},
        changes));
    REQUIRE(changes.rows.size() == 1);
    CHECK(changes.rows[0].at == row_address{"t", "", "a"});
    CHECK(changes.rows[0].value == "two");
    CHECK(changes.rows[0].version == 7);
    REQUIRE(changes.removed.size() == 1);
    CHECK(changes.removed[0] == row_address{"t", "", "b"});
    CHECK(changes.version == 9);
}

TEST_CASE("store codec: a reply that holds no changes is not decoded")
{
    changes_result changes;
    CHECK_FALSE(platform::decode_changes({200, "nothing"}, changes));
    CHECK_FALSE(platform::decode_changes({200, R"({"rows":[7]})"}, changes));
}

TEST_CASE("store codec: a key whose bytes are not UTF-8 does not end the "
          "process and is read back")
{
    std::string const key = GENERATE(
        std::string("Z\xfcrich-17"), std::string("100%-\xff"),
        std::string("%:Z%FCrich"), std::string("Z%FCrich"),
        std::string("Z\xc3\xbcrich"));
    row_transaction change;
    change.writes.push_back({{"t", "p", key}, "value"});
    change.conditions.push_back({{"t", "p", key}, 0});
    change.removals.push_back({"t", "p", key});
    auto const request = platform::encode_transaction(change);
    auto const body = nlohmann::json::parse(request.body);
    auto const spelled = body["writes"][0]["key"].get<std::string>();
    CHECK(body["expect_rev"][0]["key"] == spelled);
    CHECK(body["remove"][0]["key"] == spelled);
    nlohmann::json const row{
        {"table", "t"}, {"part", "p"}, {"key", spelled}, {"ver", 1}};
    range_result got;
    REQUIRE(platform::decode_range(
        {200, nlohmann::json{{"rows", {row}}, {"ver", 1}}.dump()}, got));
    REQUIRE(got.rows.size() == 1);
    CHECK(got.rows[0].at.key == key);
}
