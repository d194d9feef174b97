#include "steward_commit.hpp"
#include "steward_worker.hpp"

#include "fake_table.hpp"

#include <walnutmill/target_rows.hpp>

#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace std::chrono_literals;
using walnutmill::testing::fake_table;

namespace
{

constexpr std::uint32_t shards = 1;

struct stewarded_engine
{
    manual_clock clock;
    fake_table store;
    metrics counters;
    session_id self{"n1.1"};
    observed_target engine{true, power_state::off, {}, {}, "", 0, 0, 0, {}};
    std::vector<program_id> held;
    std::vector<program_id> released;
    std::vector<stewarded_target> targets;
    std::uint64_t version = 1;
    steward_hooks hooks = make_hooks();
    steward_worker worker{
        {self, node_name("n1"), clock.fn(), {}, 5s}, hooks, counters};

    stewarded_engine()
    {
        own_shard(self, 4);
        target_config config;
        config.name = target_name("e1");
        config.models = {"m"};
        config.checks_fencing = true;
        config.policy_since = 1;
        targets.push_back({config, 4});
    }

    void own_shard(session_id const& owner, epoch_number epoch)
    {
        shard_state shard;
        shard.owner = owner;
        shard.epoch = epoch;
        store.set_row(shard_key(0), encode_shard(shard));
    }

    std::future<exclusive_status> exclusive(exclusive_commit const& work)
    {
        auto const done =
            store.table().commit({"x", work.conditions, work.writes});
        std::promise<exclusive_status> told;
        told.set_value(
            done.status == commit_status::committed
                ? exclusive_status::committed
                : exclusive_status::refused);
        return told.get_future();
    }

    send_outcome take(target_order const& order)
    {
        if (order.fence < engine.fence)
            return send_outcome::fenced;
        engine.fence = order.fence;
        engine.power = order.content.power.value_or(engine.power);
        engine.models = order.content.models.value_or(engine.models);
        return send_outcome::accepted;
    }

    steward_hooks make_hooks()
    {
        steward_hooks made;
        made.version = [this] { return version; };
        made.accepted_version = [this] { return version; };
        made.weight_loads = [] { return 1; };
        made.commit = make_steward_commit(
            store.table(),
            [this](exclusive_commit const& work) { return exclusive(work); },
            self, shards);
        made.scan = [this](std::string_view prefix)
        { return scan_all(store.table(), prefix); };
        made.session_fenced = [](session_id const&) { return false; };
        made.liveness = [](std::vector<program_id> const& programs)
        {
            std::vector<program_liveness> states;
            states.reserve(programs.size());
            for (auto const& program : programs)
                states.push_back(
                    program.str() == "dead"      ? program_liveness::ended
                    : program.str() == "strange" ? program_liveness::unknown
                                                 : program_liveness::live);
            return states;
        };
        made.wall_clock = [] { return wall_time(); };
        made.connect = [this](std::string const&) { return link(); };
        return made;
    }

    target_link link()
    {
        target_link made;
        made.read = [this]
        {
            auto seen = engine;
            seen.holds = static_cast<std::uint32_t>(held.size());
            return seen;
        };
        made.send = [this](target_order const& order) { return take(order); };
        made.holds = [this] { return result<std::vector<program_id>>(held); };
        made.release = [this](program_id const& program)
        {
            released.push_back(program);
            held.erase(std::find(held.begin(), held.end(), program));
            return true;
        };
        return made;
    }

    void run(duration how_long)
    {
        for (auto const end = clock.now() + how_long; clock.now() < end;
             clock.advance(100ms))
        {
            worker.assign(targets);
            worker.round();
        }
    }
    target_condition reported() const
    {
        auto const rows = store.rows();
        auto const at = rows.find("target/e1");
        REQUIRE(at != rows.end());
        return decode_report(at->second).value().state;
    }
    std::size_t count_rows(std::string const& prefix)
    {
        return scan_all(store.table(), prefix).value().size();
    }
};

} // namespace

TEST_CASE_METHOD(
    stewarded_engine, "engine that is off, asked to serve, is woken and loaded",
    "[steward]")
{
    run(5s);
    CHECK(engine.power == power_state::on);
    CHECK(engine.models == std::vector<std::string>{"m"});
    CHECK(reported() == target_condition::ready);
    CHECK(count_rows("audit/") == 1);
    CHECK(count_rows("weights/") == 0);
    CHECK(worker.status().front().state == target_condition::ready);
    held = {program_id("live")};
    targets.front().config.policy = target_policy::stop;
    targets.front().config.policy_since = ++version;
    run(10s);
    CHECK(engine.power == power_state::off);
    CHECK(released.size() == 1);
    CHECK(reported() == target_condition::stopped);
}

TEST_CASE_METHOD(
    stewarded_engine, "weights, while another loads, are waited for",
    "[steward]")
{
    store.set_row("weights/0", R"({"session":"n2.1"})");
    run(5s);
    CHECK(engine.power == power_state::off);
    CHECK(
        worker.status().front().reason.find("weight store") !=
        std::string::npos);
    auto const free =
        store.table().commit({"f", {}, {{"weights/0", std::nullopt}}});
    REQUIRE(free.status == commit_status::committed);
    run(5s);
    CHECK(engine.power == power_state::on);
}

TEST_CASE_METHOD(
    stewarded_engine, "steward, whose shard was taken over, does nothing more",
    "[steward]")
{
    own_shard(session_id("n2.1"), 5);
    run(5s);
    CHECK(engine.power == power_state::off);
    CHECK(engine.fence == 0);
    CHECK(count_rows("target/") == 0);
}

TEST_CASE_METHOD(
    stewarded_engine, "steward, while the table is down, sends nothing",
    "[steward]")
{
    store.set_down(true);
    run(5s);
    CHECK(engine.fence == 0);
    store.set_down(false);
    run(5s);
    CHECK(reported() == target_condition::ready);
}

TEST_CASE_METHOD(
    stewarded_engine, "sweep, of cache held, drops that of ended programs only",
    "[steward]")
{
    run(5s);
    held = {program_id("live"), program_id("dead"), program_id("strange")};
    run(6s);
    CHECK(released == std::vector<program_id>{program_id("dead")});
    CHECK(counters.counter("walnutmill_holds_released_total") == 1);
}

TEST_CASE_METHOD(
    stewarded_engine, "target that came back within an epoch is not refused",
    "[steward]")
{
    run(5s);
    auto const kept = targets;
    targets.clear();
    run(1s);
    targets = kept;
    targets.front().config.models = {"m", "n"};
    targets.front().config.policy_since = ++version;
    run(15s);
    CHECK(engine.models == std::vector<std::string>{"m", "n"});
}
