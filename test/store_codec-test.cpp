/// \file
/// Requests for the changes of a table, and the replies to them.

#include "platform/store_codec.hpp"

#include <catch2/catch.hpp>

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
