#include "gossip_codec.hpp"

#include <walnutmill/membership.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace walnutmill;

namespace
{

constexpr duration round_time = std::chrono::milliseconds(500);

member_info info_of(std::size_t number, std::uint64_t incarnation = 1)
{
    auto const name = "n" + std::to_string(number);
    member_info made;
    made.node = node_name(name);
    made.session = session_id(name + "." + std::to_string(incarnation));
    made.incarnation = incarnation;
    made.http_address = "10.0.0.1:" + std::to_string(number);
    made.peer_address = "10.0.0.2:" + std::to_string(number);
    made.zone = zone_name("bern-hall");
    made.counter = 1;
    return made;
}

/// Nodes in one process whose messages arrive at once.
struct cluster
{
    manual_clock clock;
    std::map<std::string, std::unique_ptr<membership>> nodes;

    void add(member_info const& info, membership_options options = {})
    {
        nodes[info.peer_address] = std::make_unique<membership>(
            options, info,
            seeded_random(static_cast<std::uint32_t>(nodes.size())));
    }
    void add_many(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            add(info_of(i));
            nodes[info_of(i).peer_address]->seed_addresses(
                {info_of(0).peer_address, info_of(1).peer_address});
        }
    }
    membership& node(std::size_t number)
    {
        return *nodes.at(info_of(number).peer_address);
    }
    void deliver(std::vector<gossip_message> const& messages)
    {
        std::deque<gossip_message> queue(messages.begin(), messages.end());
        while (!queue.empty())
        {
            auto const one = queue.front();
            queue.pop_front();
            auto const to = nodes.find(one.address);
            if (to == nodes.end())
                continue;
            for (auto& next : to->second->receive(one.bytes, clock.now()))
                queue.push_back(std::move(next));
        }
    }
    void rounds(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            clock.advance(round_time);
            for (auto& one : nodes)
                deliver(one.second->tick(clock.now()));
        }
    }
};

/// All that a node says of its members, for comparison.
std::string told(membership const& node)
{
    detail::gossip_body body;
    body.entries = node.members();
    return detail::encode_gossip(body);
}

} // namespace

TEST_CASE("membership, nodes know one seed, all learn of all", "[membership]")
{
    cluster all;
    all.add_many(20);
    all.rounds(15);
    for (auto const& one : all.nodes)
        CHECK(one.second->members().size() == 20);
}

TEST_CASE("membership, new configuration, is passed on at once", "[membership]")
{
    cluster all;
    all.add_many(20);
    all.rounds(15);
    all.deliver(all.node(3).note_head(7));
    CHECK(all.node(3).note_head(7).empty());
    auto const heard = std::count_if(
        all.nodes.begin(), all.nodes.end(),
        [](auto const& one) { return one.second->head_version() == 7; });
    CHECK(heard > 10);
    all.rounds(8);
    for (auto const& one : all.nodes)
        CHECK(one.second->head_version() == 7);
}

TEST_CASE("membership, counter stands still, member is stale", "[membership]")
{
    cluster all;
    all.add_many(3);
    all.rounds(5);
    constexpr duration lease = std::chrono::seconds(3);
    for (std::uint64_t i = 0; i < 10; ++i)
    {
        all.node(0).update_self({10 + i, 0, {1, 2, 3}, false});
        all.node(1).update_self({10 + i, 0, {}, false});
        all.rounds(1);
    }
    auto const stale = all.node(0).stale(all.clock.now(), lease);
    REQUIRE(stale.size() == 1);
    CHECK(stale.front() == info_of(2).session);
    CHECK(all.node(2).members().front().load.running == 2);
}

TEST_CASE(
    "membership, session fenced, is gone until a new incarnation",
    "[membership]")
{
    cluster all;
    all.add_many(5);
    all.rounds(8);
    all.node(0).mark_fenced(info_of(4).session, all.clock.now());
    all.rounds(8);
    CHECK(all.node(3).is_fenced(info_of(4).session));
    CHECK(all.node(3).members().size() == 4);
    // A late message of the fenced session does not bring it back.
    all.node(3).seed({info_of(4)}, all.clock.now());
    CHECK(all.node(3).members().size() == 4);
    all.node(3).seed({info_of(4, 2)}, all.clock.now());
    CHECK(all.node(3).members().size() == 5);
}

TEST_CASE(
    "membership, member silent for long, is forgotten and stays so",
    "[membership]")
{
    cluster all;
    membership_options options;
    options.forget_after = std::chrono::seconds(10);
    all.add(info_of(0), options);
    all.node(0).seed({info_of(1)}, all.clock.now());
    CHECK(all.node(0).members().size() == 2);
    all.clock.advance(std::chrono::seconds(11));
    all.node(0).tick(all.clock.now());
    all.node(0).seed({info_of(1)}, all.clock.now());
    CHECK(all.node(0).members().size() == 1);
    auto alive = info_of(1);
    alive.counter = 9;
    all.node(0).seed({alive}, all.clock.now());
    CHECK(all.node(0).members().size() == 2);
}

TEST_CASE(
    "membership, messages in any order and twice, same outcome", "[membership]")
{
    auto const seed = std::random_device()();
    INFO("seed " << seed);
    std::mt19937 random(seed);
    auto const pick = [&](std::uint32_t count)
    { return static_cast<std::uint32_t>(random() % count); };
    std::vector<std::string> messages;
    for (int i = 0; i < 60; ++i)
    {
        detail::gossip_body body;
        for (int k = 0; k < 3; ++k)
        {
            auto info = info_of(1 + pick(4), 1 + pick(2));
            info.counter = pick(5);
            info.configuration = pick(4);
            info.load = {pick(3), pick(3), pick(3)};
            info.leaving = pick(8) == 0;
            body.entries.push_back(info);
        }
        if (pick(12) == 0)
            body.fenced.push_back(info_of(1 + pick(4), 1 + pick(2)).session);
        body.head = pick(6);
        messages.push_back(detail::encode_gossip(body));
    }
    std::string expected;
    for (int order = 0; order < 20; ++order)
    {
        membership node({}, info_of(0), seeded_random(1));
        auto shuffled = messages;
        for (int i = 0; i < 10; ++i)
            shuffled.push_back(messages[pick(60)]);
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        for (auto const& one : shuffled)
            node.receive(one, time_point());
        if (order == 0)
            expected = told(node);
        CHECK(told(node) == expected);
    }
}

TEST_CASE(
    "membership, many members, messages stay within their bound",
    "[membership]")
{
    membership node({}, info_of(0), seeded_random(1));
    std::vector<member_info> known;
    for (std::size_t i = 1; i < 390; ++i)
    {
        known.push_back(info_of(i));
        known.back().counter = 1'000'000 + i;
        known.back().load = {200, 30, 20'000};
    }
    node.seed(known, time_point());
    for (int i = 0; i < 200; ++i)
        for (auto const& one : node.tick(time_point()))
        {
            CHECK(one.bytes.size() <= membership_options().max_message_bytes);
            CHECK(one.bytes.size() > 500);
        }
}

TEST_CASE(
    "gossip, damaged bytes or later fields, are taken without harm",
    "[membership]")
{
    auto const seed = std::random_device()();
    INFO("seed " << seed);
    std::mt19937 random(seed);
    membership node({}, info_of(0), seeded_random(1));
    membership other({}, info_of(1), seeded_random(2));
    other.seed({info_of(0), info_of(2)}, time_point());
    auto const sound = other.tick(time_point()).front().bytes;
    for (int i = 0; i < 1'000; ++i)
    {
        auto bytes = sound;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(bytes.size() - random() % 3);
        CHECK_NOTHROW(node.receive(bytes, time_point()));
    }
    CHECK(node.receive("", time_point()).empty());
}
