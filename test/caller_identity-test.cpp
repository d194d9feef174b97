#include <walnutmill/caller_identity.hpp>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct caller_identity_fixture
{
    routing_table table;
    route closed;
    route open;
    call one;
    seconds revoke_within{5};

    caller_identity_fixture()
    {
        table.workspaces.emplace();
        workspace holder;
        holder.name = workspace_name("archive");
        REQUIRE(table.workspaces->add(holder, {digest_of_key("k1")}));
        open.open = true;
    }

    identity_answer
    answer(route const& to, duration age = milliseconds(0)) const
    {
        return identify(table, to, one, age, revoke_within).answer;
    }
};

} // namespace

TEST_CASE_METHOD(
    caller_identity_fixture, "identity: a known key identifies its workspace")
{
    one.key = digest_of_key("k1");
    auto const got = identify(table, closed, one, seconds(1), revoke_within);
    REQUIRE(got.answer == identity_answer::identified);
    CHECK(got.owner->name.str() == "archive");
    CHECK(answer(open) == identity_answer::identified);
}

TEST_CASE_METHOD(
    caller_identity_fixture,
    "identity: without a key, or with an unknown one, a closed route is denied")
{
    CHECK(answer(closed) == identity_answer::key_missing);
    CHECK(answer(open) == identity_answer::anonymous);
    one.key = digest_of_key("k2");
    CHECK(answer(closed) == identity_answer::key_unknown);
    CHECK(answer(open) == identity_answer::anonymous);
    one.key = digest_of_key("");
    CHECK(answer(closed) == identity_answer::key_unknown);
}

TEST_CASE_METHOD(
    caller_identity_fixture,
    "identity: a stale configuration decides on no key, known or not")
{
    one.key = digest_of_key("k1");
    CHECK(answer(closed, milliseconds(4'700)) == identity_answer::identified);
    CHECK(answer(closed, seconds(5)) == identity_answer::stale);
    CHECK(answer(closed, duration::max()) == identity_answer::stale);
    CHECK(answer(open, seconds(5)) == identity_answer::anonymous);
    one.key = digest_of_key("k2");
    CHECK(answer(closed, seconds(5)) == identity_answer::stale);
}

TEST_CASE_METHOD(
    caller_identity_fixture,
    "identity: without a bound any staleness is accepted")
{
    revoke_within = seconds(0);
    one.key = digest_of_key("k1");
    CHECK(answer(closed, duration::max()) == identity_answer::identified);
}

TEST_CASE_METHOD(
    caller_identity_fixture,
    "identity: a configuration without workspaces requires no key")
{
    table.workspaces.reset();
    CHECK(answer(closed) == identity_answer::anonymous);
    one.key = digest_of_key("k1");
    CHECK(answer(closed) == identity_answer::anonymous);
}

TEST_CASE_METHOD(
    caller_identity_fixture,
    "identity: an empty list of workspaces serves nobody on closed routes")
{
    table.workspaces.emplace();
    one.key = digest_of_key("k1");
    CHECK(answer(closed) == identity_answer::key_unknown);
}
