#include "fake_table.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace walnutmill::testing;

namespace
{

struct fake_table_fixture
{
    fake_table fake;
    table_service table = fake.table();
    transaction insert{"t1", {{"a", std::nullopt}}, {{"a", "1"}}};
};

} // namespace

TEST_CASE_METHOD(
    fake_table_fixture, "fake table, condition fails, nothing is written",
    "[fakes]")
{
    CHECK(table.commit(insert).status == commit_status::committed);
    auto const again = table.commit(insert);
    CHECK(again.status == commit_status::refused);
    CHECK(again.failed == std::vector<std::string>{"a"});
    CHECK(fake.commits() == 1);
}

TEST_CASE_METHOD(
    fake_table_fixture, "fake table, faults, tell apart effect and answer",
    "[fakes]")
{
    fake.fail_next(table_fault::refuse);
    CHECK(table.commit(insert).status == commit_status::not_sent);
    fake.fail_next(table_fault::lose_request);
    CHECK(table.commit(insert).status == commit_status::in_doubt);
    CHECK(fake.rows().empty());
    fake.fail_next(table_fault::drop_answer);
    CHECK(table.commit(insert).status == commit_status::in_doubt);
    CHECK(fake.rows().at("a") == "1");
    fake.set_down(true);
    CHECK_FALSE(table.read({"a"}));
}

TEST_CASE_METHOD(
    fake_table_fixture, "fake table, scanned in pages, yields all in order",
    "[fakes]")
{
    for (auto const* key : {"p/2", "p/1", "p/3", "q/1", "o/9"})
        fake.set_row(key, key);
    auto const first = table.scan("p/", "", 2);
    REQUIRE(first);
    CHECK(first.value().more);
    CHECK(first.value().rows.back().key == "p/2");
    auto const rest = table.scan("p/", "p/2", 2);
    REQUIRE(rest);
    CHECK_FALSE(rest.value().more);
    CHECK(rest.value().rows.size() == 1);
}
