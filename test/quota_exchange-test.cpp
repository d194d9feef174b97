#include "quota_cluster.hpp"

#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

workspace_name const small("small");
workspace_name const large("large");
workspace_name const greedy("greedy");

/// A small workspace that stays below its limit, as most do, a large one, and
/// one that sends ten times its limit.
void add_loads(quota_cluster& cluster)
{
    cluster.add_load({small, {4, 4}, 2});
    cluster.add_load({large, {300, 300}, 190});
    cluster.add_load({greedy, {30, 30}, 300});
}

void check_windows(quota_cluster const& cluster)
{
    for (auto const& owner : {small, large, greedy})
    {
        auto const& result = cluster.result(owner);
        INFO(owner.str());
        CHECK(
            static_cast<double>(result.max_in_window) <=
            result.allowed_in_window);
    }
}

/// \return the granted requests as a fraction of those that a single token
/// bucket would have granted.
double
served_fraction(quota_cluster const& cluster, workspace_name const& owner)
{
    auto const& result = cluster.result(owner);
    return static_cast<double>(result.granted) /
           static_cast<double>(result.granted_by_single_bucket);
}

quota_cluster_options cluster_options(std::size_t nodes, std::uint64_t seed)
{
    quota_cluster_options to;
    to.nodes = nodes;
    to.strong_nodes = nodes / 4;
    to.seed = seed;
    return to;
}

} // namespace

TEST_CASE("quota exchange: without faults grants match a single bucket")
{
    for (auto const nodes : {std::size_t{1}, std::size_t{85}, std::size_t{390}})
    {
        INFO(nodes << " nodes");
        quota_cluster cluster(cluster_options(nodes, 1));
        add_loads(cluster);
        cluster.run_for(seconds(30));
        check_windows(cluster);
        CHECK(served_fraction(cluster, small) > 0.98);
        CHECK(served_fraction(cluster, large) > 0.98);
        CHECK(served_fraction(cluster, greedy) > 0.9);
        CHECK(cluster.result(small).over_limit <= 2);
        CHECK(cluster.result(greedy).over_limit > 7'000);
    }
}

TEST_CASE("quota exchange: a killed coordinator is replaced and returns")
{
    quota_cluster cluster(cluster_options(85, 2));
    add_loads(cluster);
    cluster.run_for(seconds(10));
    auto const node = cluster.coordinator_of(greedy);
    cluster.kill(node);
    cluster.run_for(seconds(4));
    cluster.start(node);
    cluster.run_for(seconds(10));
    check_windows(cluster);
    CHECK(served_fraction(cluster, greedy) > 0.9);
    CHECK(served_fraction(cluster, large) > 0.95);
}

// Guards against a former and a new coordinator that both grant the full rate.
TEST_CASE("quota exchange: nodes that learn of a joined coordinator apart "
          "grant one limit")
{
    quota_cluster_options options;
    options.seed = 2;
    quota_cluster cluster(options);
    workspace_name const tenant("tenant-joined");
    auto const joined = cluster.coordinator_of(tenant);
    cluster.remove(joined);
    cluster.add_load({tenant, {100, 100}, 750});
    cluster.run_for(seconds(10));
    cluster.join(joined, seconds(3));
    cluster.run_for(seconds(10));
    auto const& seen = cluster.result(tenant);
    CHECK(static_cast<double>(seen.max_in_window) <= seen.allowed_in_window);
}

TEST_CASE("quota exchange: joined coordinators grant one limit at any spread")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
    {
        for (auto const spread :
             {milliseconds(0), milliseconds(1'000), milliseconds(3'000),
              milliseconds(4'500)})
        {
            quota_cluster_options options;
            options.seed = seed;
            quota_cluster cluster(options);
            workspace_name const tenant("tenant-joined");
            // The two that rank first join one behind the other.
            auto const first = cluster.coordinator_of(tenant);
            cluster.remove(first);
            auto const second = cluster.coordinator_of(tenant);
            cluster.remove(second);
            cluster.add_load({tenant, {100, 100}, 750});
            cluster.run_for(seconds(10));
            cluster.join(second, spread);
            cluster.run_for(milliseconds(500 * seed));
            cluster.join(first, spread);
            cluster.run_for(seconds(12));
            auto const& seen = cluster.result(tenant);
            INFO("seed " << seed << ", spread " << spread.count());
            CHECK(
                static_cast<double>(seen.max_in_window) <=
                seen.allowed_in_window);
            CHECK(served_fraction(cluster, tenant) > 0.95);
        }
    }
}

namespace
{

/// A tenant at many times its limit, while nodes that rank before all others
/// for it are absent.
struct joining_cluster
{
    quota_cluster cluster;
    workspace_name const tenant{"tenant-joined"};
    /// Absent nodes, in their order of rank.
    std::vector<std::size_t> absent;

    joining_cluster(
        std::size_t nodes, std::uint64_t seed, std::size_t absent_nodes,
        double demand = 750)
        : cluster(cluster_options(nodes, seed))
    {
        for (std::size_t i = 0; i < absent_nodes; ++i)
        {
            absent.push_back(cluster.coordinator_of(tenant));
            cluster.remove(absent.back());
        }
        cluster.add_load({tenant, {100, 100}, demand});
        cluster.run_for(seconds(10));
    }

    void check_window() const
    {
        auto const& seen = cluster.result(tenant);
        CHECK(
            static_cast<double>(seen.max_in_window) <= seen.allowed_in_window);
    }
};

} // namespace

// Guards against a node whose row comes late, or is read late, and which by
// then takes itself for known.
TEST_CASE("quota exchange: a coordinator that the others learn of late grants "
          "nothing beside its predecessor")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (auto const late : {seconds(6), seconds(12), seconds(40)})
        {
            INFO("seed " << seed << ", " << late.count() << " s");
            joining_cluster at(12, seed, 1);
            at.cluster.start(at.absent[0]);
            at.cluster.run_for(late);
            at.cluster.announce(at.absent[0], seconds(3));
            at.cluster.run_for(seconds(12));
            at.check_window();
            CHECK(served_fraction(at.cluster, at.tenant) > 0.9);
        }
    }
}

// Guards against nodes that go on asking a predecessor which has not learned of
// the new coordinator, while the others ask the new one.
TEST_CASE("quota exchange: a predecessor that learns of a joined coordinator "
          "last grants nothing beside it")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        INFO("seed " << seed);
        joining_cluster at(12, seed, 1);
        at.cluster.join(at.absent[0], seconds(20));
        at.cluster.run_for(seconds(32));
        at.check_window();
        CHECK(served_fraction(at.cluster, at.tenant) > 0.9);
    }
}

// Guards against a third node that decides although its predecessor is asked.
TEST_CASE("quota exchange: coordinators that join together grant one limit")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (auto const gap : {milliseconds(0), milliseconds(1'300)})
        {
            INFO("seed " << seed << ", gap " << gap.count());
            joining_cluster at(40, seed, 3);
            for (auto one = at.absent.rbegin(); one != at.absent.rend(); ++one)
            {
                at.cluster.join(*one, seconds(3));
                at.cluster.run_for(gap);
            }
            at.cluster.run_for(seconds(15));
            at.check_window();
            CHECK(served_fraction(at.cluster, at.tenant) > 0.9);
        }
    }
}

// Guards against a joined node that decides at the full rate because the
// answers of its predecessor are later than it waits for them.
TEST_CASE("quota exchange: a coordinator that joins above a slow one grants "
          "nothing beside it")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (auto const delay :
             {milliseconds(30), milliseconds(55), milliseconds(80)})
        {
            INFO("seed " << seed << ", delay " << delay.count());
            joining_cluster at(12, seed, 1);
            auto const predecessor = at.cluster.coordinator_of(at.tenant);
            at.cluster.slow_down(predecessor, delay);
            at.cluster.run_for(seconds(5));
            at.cluster.join(at.absent[0], seconds(3));
            at.cluster.run_for(seconds(12));
            at.check_window();
        }
    }
}

// Guards against two coordinators while the predecessor stands still for a
// moment, or ends, before the new one decides.
TEST_CASE("quota exchange: a predecessor that fails while a joined coordinator "
          "defers to it leaves one limit")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (auto const pause :
             {milliseconds(150), milliseconds(700), milliseconds(2'500)})
        {
            INFO("seed " << seed << ", pause " << pause.count());
            joining_cluster at(12, seed, 1);
            auto const predecessor = at.cluster.coordinator_of(at.tenant);
            at.cluster.join(at.absent[0], seconds(3));
            at.cluster.run_for(milliseconds(800 * seed));
            at.cluster.freeze(predecessor);
            at.cluster.run_for(pause);
            at.cluster.resume(predecessor);
            at.cluster.run_for(seconds(12));
            at.check_window();
        }
        INFO("seed " << seed << ", ends");
        joining_cluster at(12, seed, 1);
        auto const predecessor = at.cluster.coordinator_of(at.tenant);
        at.cluster.join(at.absent[0], seconds(3));
        at.cluster.run_for(milliseconds(800 * seed));
        at.cluster.kill(predecessor);
        at.cluster.run_for(seconds(12));
        at.check_window();
    }
}

// Guards against a coordinator that still grants to those that have not learned
// that it leaves, while its successor grants to the others.
TEST_CASE("quota exchange: a coordinator that leaves grants nothing beside its "
          "successor")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (auto const spread : {seconds(1), seconds(3), seconds(5)})
        {
            INFO("seed " << seed << ", spread " << spread.count());
            joining_cluster at(12, seed, 0);
            auto const leaving = at.cluster.coordinator_of(at.tenant);
            at.cluster.leave(leaving, spread);
            at.cluster.run_for(spread + seconds(1));
            at.cluster.kill(leaving);
            at.cluster.run_for(seconds(8));
            at.check_window();
            CHECK(served_fraction(at.cluster, at.tenant) > 0.9);
        }
    }
}

TEST_CASE("quota exchange: a joined coordinator refuses none below the limit")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        quota_cluster_options options;
        options.seed = seed;
        options.loss = 0;
        quota_cluster cluster(options);
        workspace_name const tenant("tenant-joined");
        auto const joined = cluster.coordinator_of(tenant);
        cluster.remove(joined);
        cluster.add_load({tenant, {100, 100}, 80});
        cluster.run_for(seconds(10));
        cluster.join(joined, seconds(3));
        cluster.run_for(seconds(12));
        auto const& seen = cluster.result(tenant);
        INFO("seed " << seed);
        CHECK(seen.over_limit == 0);
        CHECK(seen.undecided == 0);
        CHECK(seen.max_in_window > 0);
    }
}

TEST_CASE("quota exchange: a frozen coordinator resumes with stale state")
{
    quota_cluster cluster(cluster_options(85, 3));
    add_loads(cluster);
    for (int i = 0; i < 4; ++i)
    {
        cluster.run_for(seconds(4));
        auto const node = cluster.coordinator_of(greedy);
        cluster.freeze(node);
        cluster.run_for(seconds(3));
        cluster.resume(node);
    }
    cluster.run_for(seconds(6));
    check_windows(cluster);
}

TEST_CASE("quota exchange: the minority side of a partition grants its share")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        quota_cluster cluster(cluster_options(85, seed));
        add_loads(cluster);
        cluster.run_for(seconds(8));
        std::set<std::size_t> separated;
        for (std::size_t i = 0; i < 14; ++i)
            separated.insert((i * 6 + seed) % 85);
        separated.insert(cluster.coordinator_of(greedy));
        cluster.partition(separated);
        cluster.run_for(milliseconds(5'500));
        cluster.heal();
        cluster.run_for(seconds(8));
        INFO("seed " << seed);
        check_windows(cluster);
        CHECK(served_fraction(cluster, large) > 0.9);
    }
}

TEST_CASE("quota exchange: all nodes restart with limits nearly used up")
{
    quota_cluster cluster(cluster_options(85, 4));
    add_loads(cluster);
    cluster.run_for(seconds(10));
    for (std::size_t i = 0; i < cluster.nodes(); ++i)
        cluster.kill(i);
    cluster.run_for(milliseconds(200));
    for (std::size_t i = 0; i < cluster.nodes(); ++i)
        cluster.start(i);
    cluster.run_for(seconds(10));
    check_windows(cluster);
    CHECK(served_fraction(cluster, small) > 0.9);
}

TEST_CASE("quota exchange: a lower limit applies in the next window")
{
    quota_cluster cluster(cluster_options(85, 5));
    add_loads(cluster);
    cluster.run_for(seconds(10));
    cluster.set_limit(greedy, {2, 2});
    cluster.run_for(seconds(15));
    auto const& result = cluster.result(greedy);
    CHECK(result.allowed_in_window < 40);
    cluster.set_limit(greedy, {400, 400});
    auto const before = result.granted;
    cluster.run_for(seconds(10));
    CHECK(result.granted - before > 2'800);
}

TEST_CASE("quota exchange: no window exceeds its limit under random faults")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        quota_cluster cluster(cluster_options(85, seed));
        add_loads(cluster);
        auto const random = seeded_random(seed * 7'919);
        auto const random_node = [&]
        {
            return static_cast<std::size_t>(
                random() * static_cast<double>(cluster.nodes()));
        };
        for (int step = 0; step < 12; ++step)
        {
            auto const node =
                random() < 0.5 ? cluster.coordinator_of(greedy) : random_node();
            cluster.run_for(
                milliseconds(500 + static_cast<int>(random() * 2'000)));
            auto const fault = random();
            if (fault < 0.35)
            {
                cluster.kill(node);
                cluster.run_for(
                    milliseconds(static_cast<int>(random() * 4'000)));
                cluster.start(node);
            }
            else if (fault < 0.7)
            {
                cluster.freeze(node);
                cluster.run_for(
                    milliseconds(static_cast<int>(random() * 4'000)));
                cluster.resume(node);
            }
            else
            {
                std::set<std::size_t> separated{node};
                for (int i = 0; i < 13; ++i)
                    separated.insert(random_node());
                cluster.partition(separated);
                cluster.run_for(
                    milliseconds(static_cast<int>(random() * 6'000)));
                cluster.heal();
            }
        }
        cluster.run_for(seconds(5));
        INFO("seed " << seed);
        check_windows(cluster);
    }
}

TEST_CASE("quota exchange: unlimited workspaces cause no messages")
{
    quota_cluster cluster(cluster_options(85, 6));
    cluster.add_load({small, {}, 100});
    cluster.run_for(seconds(10));
    CHECK(cluster.messages() == 0);
    CHECK(cluster.result(small).granted > 900);
}

TEST_CASE("quota message: encoding round-trips, invalid bytes are rejected")
{
    quota_message one;
    one.type = quota_message_type::answer;
    one.node = "n1";
    one.request_id = 7;
    one.request = {small, {3.5, 9}};
    one.configuration = 12;
    one.hops = 1;
    one.answer = {quota_decision::over_limit, milliseconds(120)};
    auto const bytes = encode(one);
    auto const got = decode_quota_message(bytes);
    REQUIRE(got);
    CHECK(got->type == one.type);
    CHECK(got->node == "n1");
    CHECK(got->request_id == 7);
    CHECK(got->request.owner == small);
    CHECK(got->request.limit == one.request.limit);
    CHECK(got->configuration == 12);
    CHECK(got->hops == 1);
    CHECK(got->answer.decision == quota_decision::over_limit);
    CHECK(got->answer.retry_after == milliseconds(120));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(
            decode_quota_message(std::string_view(bytes).substr(0, size)));
    one.request.limit.per_second = -1;
    CHECK_FALSE(decode_quota_message(encode(one)));
    one.request.limit.per_second = 1;
    one.type = static_cast<quota_message_type>(9);
    CHECK_FALSE(decode_quota_message(encode(one)));
}

namespace
{

std::string bytes_of(std::string const& hexadecimal)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hexadecimal.size(); i += 2)
    {
        bytes.push_back(static_cast<char>(
            std::stoi(hexadecimal.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

/// Messages as encoded before there was a use.
std::string const answer_without_use =
    bytes_of("8b6571756f746102626e3119012c6177fa40600000fa411000000c01011878");
std::string const request_without_use = bytes_of(
    "8b6571756f746101626e310765736d616c6cfb3fd3333333333333fa4100000002000200");

quota_message answer_message()
{
    quota_message one;
    one.type = quota_message_type::answer;
    one.node = "n1";
    one.request_id = 300;
    one.request = {workspace_name("w"), {3.5, 9}};
    one.configuration = 12;
    one.hops = 1;
    one.answer.decision = quota_decision::over_limit;
    one.answer.retry_after = milliseconds(120);
    return one;
}

/// Decodes a message in the way of versions without a use: by position.
nlohmann::json first_elements(std::string const& bytes)
{
    auto const body = nlohmann::json::from_cbor(bytes);
    auto to = nlohmann::json::array();
    for (std::size_t i = 0; i < 11; ++i)
        to.push_back(body.at(i));
    return to;
}

void check_is_answer_message(quota_message const& got)
{
    auto const sent = answer_message();
    CHECK(got.type == sent.type);
    CHECK(got.node == sent.node);
    CHECK(got.request_id == sent.request_id);
    CHECK(got.request.owner == sent.request.owner);
    CHECK(got.request.limit == sent.request.limit);
    CHECK(got.configuration == sent.configuration);
    CHECK(got.hops == sent.hops);
    CHECK(got.answer.decision == sent.answer.decision);
    CHECK(got.answer.retry_after == sent.answer.retry_after);
}

} // namespace

TEST_CASE("quota message: without a use the bytes are those of before")
{
    CHECK(encode(answer_message()) == answer_without_use);
    quota_message request;
    request.node = "n1";
    request.request_id = 7;
    request.request = {small, {0.3, 8}};
    request.configuration = 2;
    CHECK(encode(request) == request_without_use);
    auto const got = decode_quota_message(answer_without_use);
    REQUIRE(got);
    check_is_answer_message(*got);
    CHECK_FALSE(got->answer.use);
}

TEST_CASE("quota message: a use is one more element, which others pass over")
{
    for (std::uint32_t const use : {0U, 630U, 1'000U, 100'000U})
    {
        auto message = answer_message();
        message.answer.use = use;
        auto const bytes = encode(message);
        CHECK(bytes.size() <= answer_without_use.size() + 5);
        CHECK(first_elements(bytes) == first_elements(answer_without_use));
        auto const got = decode_quota_message(bytes);
        REQUIRE(got);
        check_is_answer_message(*got);
        REQUIRE(got->answer.use);
        CHECK(*got->answer.use == use);
    }
}

TEST_CASE("quota message: the report on the coordinator is a further element")
{
    for (auto const use :
         {std::optional<std::uint32_t>(), std::optional<std::uint32_t>(630)})
    {
        for (auto const is_coordinator : {false, true})
        {
            auto message = answer_message();
            message.answer.use = use;
            message.asker_is_coordinator = is_coordinator;
            auto const bytes = encode(message);
            CHECK(first_elements(bytes) == first_elements(answer_without_use));
            auto const got = decode_quota_message(bytes);
            REQUIRE(got);
            check_is_answer_message(*got);
            CHECK(got->answer.use == use);
            CHECK(got->asker_is_coordinator == is_coordinator);
        }
    }
    CHECK_FALSE(decode_quota_message(answer_without_use)->asker_is_coordinator);
}

// Guards against messages that a later version extends in its own way.
TEST_CASE("quota message: unknown further elements leave it readable")
{
    auto const known = nlohmann::json::from_cbor(answer_without_use);
    std::vector<nlohmann::json> const uses{
        nullptr,       true,       -1,
        0.5,           "630",      nlohmann::json::array({630}),
        1e300,         1'000'001U, std::uint64_t(1) << 63U,
        {{"use", 630}}};
    for (auto const& use : uses)
    {
        INFO(use.dump());
        auto body = known;
        body.push_back(use);
        body.push_back(nlohmann::json::array({"more", 1}));
        auto const bytes = nlohmann::json::to_cbor(body);
        auto const got =
            decode_quota_message(std::string(bytes.begin(), bytes.end()));
        REQUIRE(got);
        check_is_answer_message(*got);
        CHECK_FALSE(got->answer.use);
    }
    auto body = known;
    body.push_back(630U);
    body.push_back("more");
    auto const bytes = nlohmann::json::to_cbor(body);
    auto const got =
        decode_quota_message(std::string(bytes.begin(), bytes.end()));
    REQUIRE(got);
    check_is_answer_message(*got);
    CHECK(got->answer.use == 630U);
}

namespace
{

quota_cluster_options reporting(std::uint64_t seed)
{
    auto to = cluster_options(40, seed);
    to.reports_use = true;
    return to;
}

} // namespace

TEST_CASE("quota exchange: without reports no answer has a use")
{
    quota_cluster cluster(cluster_options(40, 3));
    add_loads(cluster);
    cluster.run_for(seconds(10));
    CHECK(cluster.result(large).uses == 0);
}

TEST_CASE("quota exchange: each node learns the use of a workspace")
{
    quota_cluster cluster(reporting(3));
    add_loads(cluster);
    cluster.run_for(seconds(5));
    for (auto const& owner : {small, large, greedy})
        cluster.reset_uses(owner);
    cluster.run_for(seconds(30));
    CHECK(cluster.result(small).answers_without_use == 0);
    CHECK(
        cluster.result(large).uses >
        2 * cluster.result(large).answers_without_use);
    CHECK(cluster.mean_use(small) == Approx(500).epsilon(0.3));
    CHECK(cluster.mean_use(large) == Approx(633).epsilon(0.1));
    CHECK(cluster.mean_use(greedy) == Approx(1'000).epsilon(0.1));
}

// Guards against a use made up by a node that has just become the coordinator.
TEST_CASE("quota exchange: the use is unknown for 2 s after a takeover")
{
    quota_cluster cluster(reporting(4));
    add_loads(cluster);
    cluster.run_for(seconds(10));
    cluster.kill(cluster.coordinator_of(large));
    cluster.reset_uses(large);
    cluster.run_for(milliseconds(1'900));
    CHECK(cluster.result(large).uses == 0);
    CHECK(cluster.result(large).answers_without_use > 0);
    cluster.run_for(seconds(1));
    cluster.reset_uses(large);
    cluster.run_for(seconds(10));
    CHECK(
        cluster.result(large).uses >
        2 * cluster.result(large).answers_without_use);
    CHECK(cluster.mean_use(large) == Approx(633).epsilon(0.1));
}

TEST_CASE("quota exchange: each side of a partition reports the use of its "
          "share")
{
    quota_cluster cluster(reporting(5));
    add_loads(cluster);
    cluster.run_for(seconds(5));
    std::set<std::size_t> separated;
    for (std::size_t i = 0; i < 13; ++i)
        separated.insert(i);
    cluster.partition(separated);
    cluster.run_for(seconds(4));
    cluster.reset_uses(large);
    cluster.run_for(milliseconds(700));
    CHECK(cluster.mean_use(large) == Approx(633).epsilon(0.2));
    cluster.heal();
    cluster.run_for(seconds(15));
    cluster.reset_uses(large);
    cluster.run_for(seconds(10));
    CHECK(cluster.mean_use(large) == Approx(633).epsilon(0.1));
}

TEST_CASE("quota message: quota and load messages are told apart")
{
    quota_message one;
    one.node = "n1";
    one.request = {small, {3.5, 9}};
    CHECK_FALSE(decode_load_message(encode(one)));
    load_message report;
    report.is_report = true;
    report.node = "n1";
    report.report.nodes = 7;
    auto const bytes = encode(report);
    CHECK_FALSE(decode_quota_message(bytes));
    REQUIRE(decode_load_message(bytes));
    CHECK(decode_load_message(bytes)->report.nodes == 7);
}
