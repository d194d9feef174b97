#include "operator_backend.hpp"
#include "steward_commit.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

constexpr std::uint32_t shards = 16;

configuration two_targets()
{
    configuration config;
    target_config target;
    target.name = target_name("e1");
    config.targets.push_back(target);
    target.name = target_name("depot");
    target.kind = target_kind::plain;
    config.targets.push_back(target);
    return config;
}

ownership_view all_owned_by(session_id const& owner)
{
    ownership_view view;
    view.shards.resize(shards);
    for (auto& shard : view.shards)
    {
        shard.owner = owner;
        shard.epoch = 4;
    }
    return view;
}

} // namespace

TEST_CASE("stewards, of own shards, take engines only", "[operator_backend]")
{
    session_id const self("n.1");
    auto const own =
        stewarded_by(self, two_targets(), all_owned_by(self), shards);
    REQUIRE(own.size() == 1);
    CHECK(own[0].config.name == target_name("e1"));
    CHECK(own[0].epoch == 4);
}

TEST_CASE(
    "stewards, shards of others or none read yet, take nothing",
    "[operator_backend]")
{
    session_id const self("n.1");
    auto const others = all_owned_by(session_id("n.2"));
    CHECK(stewarded_by(self, two_targets(), others, shards).empty());
    CHECK(stewarded_by(self, two_targets(), {}, shards).empty());
}

TEST_CASE(
    "acknowledgements, of the sessions' rows, carry version and fence",
    "[operator_backend]")
{
    ownership_view view;
    session_state session;
    session.id = session_id("n.1");
    session.configuration = 7;
    session.fenced = true;
    view.sessions.push_back(session);
    auto const acks = acks_of(view);
    REQUIRE(acks.size() == 1);
    CHECK(acks[0].applied == 7);
    CHECK(acks[0].fenced);
}
