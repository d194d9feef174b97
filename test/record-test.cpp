#include <walnutmill/hash.hpp>
#include <walnutmill/record.hpp>

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

std::vector<journal_record> one_of_each_kind()
{
    call_outcome outcome;
    outcome.program = program_id("p1");
    outcome.number = 3;
    outcome.request = request_id("r3");
    outcome.body_hash = ~std::uint64_t(0);
    outcome.output = std::string("\0\xff text", 7);
    outcome.code = errc::target_failed;
    outcome.ran = certainty::outcome_unknown;
    return {
        {1, 2,
         program_created{
             program_id("p1"), program_id(), program_id("p1"),
             workspace_name("bern"), 900, request_id("r0")}},
        {1, 2, slice_drawn{program_id("p1"), 50}},
        {1, 2, slice_returned{program_id("p1"), 9}},
        {1, 2,
         call_intent{
             program_id("p1"), 3, request_id("r3"), 7, target_name("van"), 20}},
        {1, 2, outcome},
        {1, 2, hold_taken{program_id("p1"), target_name("e")}},
        {1, 2, hold_released{program_id("p1"), target_name("e")}},
        {1, 2, program_ended{program_id("p1"), end_reason::abandoned}}};
}

} // namespace

TEST_CASE("record batch, of every kind, survives encoding")
{
    auto const before = one_of_each_kind();
    auto const bytes = encode_records(before);
    auto const after = decode_records(bytes);
    REQUIRE(after);
    CHECK(encode_records(after.value()) == bytes);
    auto const& outcome = std::get<call_outcome>(after.value()[4].body);
    CHECK(outcome.output == std::string("\0\xff text", 7));
    CHECK(outcome.body_hash == ~std::uint64_t(0));
    CHECK(outcome.ran == certainty::outcome_unknown);
}

TEST_CASE("record batch, cut short, is an error")
{
    auto bytes = encode_records(one_of_each_kind());
    bytes.resize(bytes.size() / 2);
    CHECK_FALSE(decode_records(bytes));
}

TEST_CASE("stable hash, of known text, keeps its value")
{
    // Values of XXH64 with seed zero: nodes of different builds must agree.
    CHECK(stable_hash("") == 0xef46db3751d8e999ULL);
    CHECK(stable_hash("abc") == 0x44bc2cf5ad770999ULL);
}
