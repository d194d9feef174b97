#include <walnutmill/target_rows.hpp>
#include <walnutmill/weight_slots.hpp>

#include "fake_table.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

struct slot_users
{
    walnutmill::testing::fake_table store;
    table_service table = store.table();
    std::vector<session_id> fenced;

    static weight_slot_holder holder(std::string const& name)
    {
        return {session_id(name + ".1"), 1, target_name("t-" + name)};
    }
    std::vector<row> rows() const
    {
        return scan_all(table, weight_slot_prefix).value();
    }
    std::optional<weight_slot_change> plan(std::string const& name) const
    {
        return plan_slot_take(
            2, rows(), holder(name),
            [this](session_id const& id) {
                return std::find(fenced.begin(), fenced.end(), id) !=
                       fenced.end();
            });
    }
    bool commit(weight_slot_change const& change) const
    {
        return table.commit({"t", {change.expected}, {change.write}}).status ==
               commit_status::committed;
    }
    bool take(std::string const& name) const
    {
        auto const change = plan(name);
        return change && commit(*change);
    }
};

} // namespace

TEST_CASE_METHOD(
    slot_users, "weight slots, when all are taken, turn the next away",
    "[steward]")
{
    CHECK(take("a"));
    CHECK(take("b"));
    CHECK_FALSE(take("c"));
    CHECK(take("a"));
    REQUIRE(commit(*plan_slot_give(rows(), holder("a"))));
    CHECK_FALSE(plan_slot_give(rows(), holder("a")));
    CHECK(take("c"));
    CHECK(rows().size() == 2);
}

TEST_CASE_METHOD(
    slot_users, "weight slot, planned by two at once, goes to one", "[steward]")
{
    CHECK(take("a"));
    auto const first = plan("b");
    auto const second = plan("c");
    CHECK(commit(*first));
    CHECK_FALSE(commit(*second));
}

TEST_CASE_METHOD(
    slot_users, "weight slot of a silent holder, until fenced, is kept",
    "[steward]")
{
    CHECK(take("a"));
    CHECK(take("b"));
    store.set_row("weights/0", "rubbish");
    CHECK_FALSE(take("c"));
    fenced.push_back(session_id("b.1"));
    CHECK(take("c"));
}

TEST_CASE("target rows, written and read, are the same", "[steward]")
{
    target_order order{"t.1.2", target_name("t"), fence_of(1, 2), {}};
    order.content.models = std::vector<std::string>{"a"};
    order.content.power = power_state::on;
    auto const read = decode_order(encode_order(order));
    REQUIRE(read);
    CHECK(read.value().content == order.content);
    CHECK(read.value().fence == order.fence);
    target_report const report{
        target_name("t"), target_condition::drained, "is drained", 3, 9};
    auto const again = decode_report(encode_report(report));
    REQUIRE(again);
    CHECK(encode_report(again.value()) == encode_report(report));
    CHECK_FALSE(decode_order("{}"));
    CHECK_FALSE(observed_from_state(R"({"power":"half"})"));
    auto const state = observed_from_state(
        R"({"power":"on","models":["a"],"adapters":[],"role":"","fence":4,
            "running":2})");
    REQUIRE(state);
    CHECK(state.value().running == 2);
}
