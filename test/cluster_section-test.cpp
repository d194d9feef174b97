#include "entry/cluster_section.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;

struct section_fixture
{
    manual_clock clock;
    cluster_sections known;

    section_fixture()
    {
        clock.advance(milliseconds(5'000));
        known[0] = make_section(10, clock.now(), encode(row()));
        known[1] = make_section(11, clock.now(), encode(engines()));
        known[2] = make_section(12, clock.now(), encode(members()));
    }

    static configuration_row row() { return {7, "{\"version\": 3}"}; }

    static std::vector<engine_entry> engines()
    {
        engine_entry one;
        one.id = target_name("e1");
        one.service = service_name("llm");
        one.address = "10.0.0.1:80";
        one.zone = zone_name("z1");
        one.slots = 6;
        one.state = engine_state::draining;
        one.incarnation.started_at_ms = 17;
        one.version = "2.1";
        return {one};
    }

    static std::vector<entry_member> members()
    {
        return {{"n1", "10.0.0.2:90", "z1", "n1.x", 0.12}};
    }
};

} // namespace

TEST_CASE_METHOD(
    section_fixture,
    "cluster section: encoded tables decode to the same values")
{
    auto const configuration = decode_configuration_row(known[0].bytes);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->document == row().document);
    auto const read = decode_engine_list(known[1].bytes);
    REQUIRE(read);
    REQUIRE(read->size() == 1);
    CHECK(read->front().id == target_name("e1"));
    CHECK(read->front().version == "2.1");
    CHECK(read->front().service == service_name("llm"));
    CHECK(read->front().address == "10.0.0.1:80");
    CHECK(read->front().zone == zone_name("z1"));
    CHECK(read->front().slots == 6);
    CHECK(read->front().state == engine_state::draining);
    CHECK(read->front().incarnation.started_at_ms == 17);
    auto const nodes = decode_member_list(known[2].bytes);
    REQUIRE(nodes);
    REQUIRE(nodes->size() == 1);
    CHECK(nodes->front().node == "n1");
    CHECK(nodes->front().address == "10.0.0.2:90");
    CHECK(nodes->front().domain == "z1");
    CHECK(nodes->front().incarnation == "n1.x");
    CHECK(nodes->front().strength == 0.12);
}

TEST_CASE_METHOD(
    section_fixture,
    "cluster section: only tables that differ are sent in full")
{
    section_query query;
    query.digests = {known[0].digest, 1, known[2].digest};
    clock.advance(milliseconds(40));
    auto const answer = answer_query(query, known, clock.now());
    REQUIRE(answer);
    auto const reported = decode_peer_sections(encode(*answer));
    REQUIRE(reported);
    CHECK_FALSE((*reported)[0].bytes);
    REQUIRE((*reported)[1].bytes);
    CHECK(*(*reported)[1].bytes == known[1].bytes);
    CHECK_FALSE((*reported)[2].bytes);
    for (std::size_t i = 0; i < cluster_table_count; ++i)
    {
        CHECK((*reported)[i].as_of == known[i].as_of);
        CHECK((*reported)[i].digest == known[i].digest);
        CHECK((*reported)[i].age == milliseconds(40));
    }
}

TEST_CASE_METHOD(
    section_fixture,
    "cluster section: a node that has not read all tables does not answer")
{
    known[2] = {};
    CHECK_FALSE(answer_query({}, known, clock.now()));
}

TEST_CASE_METHOD(
    section_fixture, "cluster section: bytes cut off anywhere are unreadable")
{
    auto const answer = encode(*answer_query({}, known, clock.now()));
    REQUIRE(decode_peer_sections(answer));
    for (std::size_t size = 0; size < answer.size(); ++size)
    {
        INFO(size);
        CHECK_FALSE(decode_peer_sections(answer.substr(0, size)));
    }
    CHECK_FALSE(decode_section_query("not a query"));
    CHECK_FALSE(decode_engine_list(known[2].bytes + "x"));
    CHECK_FALSE(decode_member_list(encode(row())));
}

TEST_CASE_METHOD(
    section_fixture,
    "cluster section: a large table is compressed for a node that accepts it")
{
    known[0] = make_section(
        13, clock.now(), encode(configuration_row{7, std::string(9'000, 'r')}));
    auto const compressed = compress(known[0].bytes);
    auto const compressed_of =
        [&](cluster_table which) -> compressed_bytes const&
    {
        CHECK(which == cluster_table::configuration);
        return compressed;
    };
    section_query query;
    query.accepts_compressed = true;
    auto const read = decode_section_query(encode(query));
    REQUIRE(read);
    CHECK(read->accepts_compressed);
    auto const answer = decode_peer_sections(
        encode(*answer_query(*read, known, clock.now(), {}, compressed_of)));
    REQUIRE(answer);
    CHECK_FALSE((*answer)[0].bytes);
    REQUIRE((*answer)[0].compressed);
    CHECK((*answer)[0].compressed->bytes.size() < 900);
    CHECK(decompress(*(*answer)[0].compressed, 20'000) == known[0].bytes);
    CHECK((*answer)[1].bytes == known[1].bytes);

    auto const plain = answer_query({}, known, clock.now(), {}, compressed_of);
    REQUIRE(plain);
    CHECK((*plain)[0].bytes == known[0].bytes);
    CHECK_FALSE((*plain)[0].compressed);
}

TEST_CASE("cluster section: engines without versions, as older nodes encode "
          "them, are rejected")
{
    auto const entry =
        nlohmann::json::array({"e1", "llm", "10.0.0.1:80", "z1", 6, true, 17});
    auto const bytes = nlohmann::json::to_cbor(nlohmann::json::array({entry}));
    CHECK_FALSE(decode_engine_list(std::string(bytes.begin(), bytes.end())));
}

TEST_CASE("compression: invalid or too large bytes are rejected")
{
    std::string const original(5'000, 'a');
    auto const valid = compress(original);
    CHECK(decompress(valid, original.size()) == original);
    CHECK(decompress(compress(""), 0) == std::string());
    CHECK_FALSE(decompress(valid, original.size() - 1));
    CHECK_FALSE(decompress({valid.size - 1, valid.bytes}, original.size()));
    CHECK_FALSE(decompress({valid.size + 1, valid.bytes}, original.size() * 2));
    CHECK_FALSE(decompress(
        {valid.size, valid.bytes.substr(0, valid.bytes.size() / 2)},
        original.size()));
    CHECK_FALSE(decompress({5, "not zlib"}, original.size()));
}
