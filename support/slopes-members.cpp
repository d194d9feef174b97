/// \file
/// Gossip among many nodes in one process: bytes, processor time, the gap
/// between two beats of a member, and how fast news spreads.

#include "slopes-sections.hpp"

#include <walnutmill/membership.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{
namespace slopes
{
namespace
{

/// The default of --gossip-interval-ms.
constexpr duration round_time = std::chrono::milliseconds(500);
constexpr double rounds_per_second = 2.0;
/// An idle node's session counter advances once a second.
constexpr int rounds_per_count = 2;
/// What the link adds to a note: MAC 16, CBOR 28, WebSocket 8 bytes.
constexpr double frame_bytes = 52;
constexpr int warm_up_rounds = 60;
constexpr int measured_rounds = 120;
constexpr int most_rounds = 400;

member_info info_of(std::size_t number)
{
    auto const name = "entry-" + std::to_string(number);
    member_info made;
    made.node = node_name(name);
    made.session = session_id(name + ".1764700000");
    made.incarnation = 1'764'700'000;
    made.http_address = "10.20.1.100:" + std::to_string(10'000 + number);
    made.peer_address = "10.20.1.100:" + std::to_string(20'000 + number);
    made.zone = zone_name("zuerich-hall");
    return made;
}

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::chrono::steady_clock::duration busy{0};
};

/// All nodes of one run; messages arrive within the round.
class gossip_run
{
public:
    gossip_run(std::size_t count, std::uint32_t seed) : seed_(seed)
    {
        std::vector<member_info> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back(info_of(i));
        for (auto const& one : all)
        {
            add(one);
            // As nodes do from the table's session rows when they start.
            nodes_.at(one.peer_address)->seed(all, clock_.now());
        }
    }

    void add(member_info const& info)
    {
        nodes_[info.peer_address] = std::make_unique<membership>(
            membership_options(), info, seeded_random(++seed_));
    }

    void round()
    {
        clock_.advance(round_time);
        ++rounds_;
        auto const begin = std::chrono::steady_clock::now();
        for (auto& one : nodes_)
        {
            auto const counter =
                static_cast<std::uint64_t>(rounds_ / rounds_per_count);
            one.second->update_self({counter, 0, {12, 30, 900}, false});
            deliver(one.second->tick(clock_.now()));
        }
        sent_.busy += std::chrono::steady_clock::now() - begin;
    }

    void deliver(std::vector<gossip_message> const& first)
    {
        std::deque<gossip_message> queue(first.begin(), first.end());
        while (!queue.empty())
        {
            auto const one = std::move(queue.front());
            queue.pop_front();
            ++sent_.messages;
            sent_.bytes += one.bytes.size();
            auto const to = nodes_.find(one.address);
            if (to == nodes_.end())
                continue;
            for (auto& next : to->second->receive(one.bytes, clock_.now()))
                queue.push_back(std::move(next));
        }
    }

    membership& node(std::size_t number)
    {
        return *nodes_.at(info_of(number).peer_address);
    }
    std::size_t size() const { return nodes_.size(); }
    time_point now() const { return clock_.now(); }
    traffic& sent() { return sent_; }

    template<class Condition>
    std::size_t count_nodes(Condition condition) const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(),
            [&](auto const& one) { return condition(*one.second); }));
    }

private:
    std::uint32_t seed_;
    manual_clock clock_;
    int rounds_ = 0;
    traffic sent_;
    std::map<std::string, std::unique_ptr<membership>> nodes_;
};

struct members_row
{
    std::size_t nodes = 0;
    double bytes_per_second = 0;
    double core_percent = 0;
    /// Time without an advance of a member's counter at a node: median, 99th
    /// percentile and longest, the worst round of each.
    double usual_gap_s = 0;
    double long_gap_s = 0;
    double longest_gap_s = 0;
    /// Share of nodes that heard of a new version before the next round.
    double at_once_percent = 0;
    int version_rounds = 0;
    int join_rounds = 0;
};

/// Time that a share of all members, as seen by some nodes, has not stood
/// still for, to a second.
double gap_at(gossip_run& run, double share)
{
    constexpr int longest_tried_s = 120;
    constexpr std::size_t observers = 13;
    auto const seen = std::min(observers, run.size());
    auto const pairs = static_cast<double>(seen * run.size());
    for (int seconds = 1; seconds < longest_tried_s; ++seconds)
    {
        std::size_t still = 0;
        for (std::size_t i = 0; i < seen; ++i)
            still += run.node(i)
                         .stale(run.now(), std::chrono::seconds(seconds))
                         .size();
        if (static_cast<double>(still) <= (1 - share) * pairs)
            return seconds;
    }
    return longest_tried_s;
}

template<class Condition>
int rounds_until_all(gossip_run& run, Condition condition)
{
    int rounds = 0;
    while (rounds < most_rounds && run.count_nodes(condition) < run.size())
    {
        run.round();
        ++rounds;
    }
    return rounds;
}

void measure_steady_state(gossip_run& run, members_row& row)
{
    for (int i = 0; i < warm_up_rounds; ++i)
        run.round();
    run.sent() = {};
    for (int i = 0; i < measured_rounds; ++i)
    {
        run.round();
        row.usual_gap_s = std::max(row.usual_gap_s, gap_at(run, 0.5));
        row.long_gap_s = std::max(row.long_gap_s, gap_at(run, 0.99));
        row.longest_gap_s = std::max(row.longest_gap_s, gap_at(run, 1));
    }
    auto const node_rounds = static_cast<double>(run.size()) * measured_rounds;
    auto const bytes = static_cast<double>(run.sent().bytes) +
                       frame_bytes * static_cast<double>(run.sent().messages);
    row.bytes_per_second = bytes / node_rounds * rounds_per_second;
    std::chrono::duration<double> const busy = run.sent().busy;
    row.core_percent = 100 * busy.count() / node_rounds * rounds_per_second;
}

void measure_version(gossip_run& run, members_row& row)
{
    constexpr std::uint64_t version = 2;
    auto const heard = [](membership const& one)
    { return one.head_version() >= version; };
    run.deliver(run.node(0).note_head(version));
    row.at_once_percent = 100.0 * static_cast<double>(run.count_nodes(heard)) /
                          static_cast<double>(run.size());
    row.version_rounds = rounds_until_all(run, heard);
}

void measure_join(gossip_run& run, members_row& row)
{
    auto const newcomer = info_of(run.size());
    run.add(newcomer);
    run.node(run.size() - 1).seed(run.node(0).members(), run.now());
    auto const all = run.size();
    row.join_rounds = rounds_until_all(
        run,
        [all](membership const& one) { return one.members().size() == all; });
}

members_row measure(std::size_t nodes, std::uint32_t seed)
{
    members_row row;
    row.nodes = nodes;
    gossip_run run(nodes, seed);
    measure_steady_state(run, row);
    measure_version(run, row);
    measure_join(run, row);
    return row;
}

} // namespace

void run_members_section(std::uint32_t seed)
{
    std::printf(
        "members: gossip every 500 ms, fan-out 2, seed %u\n"
        "%6s %8s %7s %8s %8s %8s %10s %8s %5s\n",
        seed, "nodes", "bytes/s", "core %", "gap p50", "p99", "longest",
        "at once %", "version", "join");
    for (std::size_t const nodes : {13U, 26U, 52U, 104U, 208U, 390U})
    {
        auto const row = measure(nodes, seed);
        std::printf(
            "%6zu %8.0f %7.3f %8.0f %8.0f %8.0f %10.0f %8d %5d\n", row.nodes,
            row.bytes_per_second, row.core_percent, row.usual_gap_s,
            row.long_gap_s, row.longest_gap_s, row.at_once_percent,
            row.version_rounds, row.join_rounds);
        std::fflush(stdout);
    }
    std::printf(
        "bytes/s: sent by one node, frames counted; core %%: of one core, one "
        "node, without the link;\n"
        "gap: seconds without an advance of a member's counter at a node;\n"
        "at once: nodes that heard of a new version before the next round;\n"
        "version, join: rounds until all nodes know.\n");
}

} // namespace slopes
} // namespace walnutmill
