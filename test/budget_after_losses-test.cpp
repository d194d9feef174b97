#include <walnutmill/program_ledger.hpp>
#include <walnutmill/start_lease.hpp>

#include "entry/partitions.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t max_turn_tokens = 572;

/// A node with its leases and its ledger. It coordinates all partitions.
struct lossy_node
{
    lossy_node(
        fake_store& store, manual_clock& clock, std::string const& self,
        std::set<std::string> const& alive)
        : leases(
              store.calls(), clock.fn(), utc_of(clock), self,
              program_ledger::table(),
              {[](std::string const&) { return true; },
               [&alive](std::string const& one)
               { return alive.count(one) > 0; },
               {}},
              lease_options_without_settle_time()),
          ledger(
              store.calls(), clock.fn(), self, ledger_options_of(clock),
              &leases)
    {
        leases.membership_known();
    }

    static utc_fn utc_of(manual_clock& clock)
    {
        return [&clock]
        {
            auto const since = clock.now().time_since_epoch();
            return 1'700'000'000 +
                   std::chrono::duration_cast<seconds>(since).count();
        };
    }

    static lease_options lease_options_without_settle_time()
    {
        lease_options to;
        to.membership_settle_time = duration(0);
        return to;
    }

    static ledger_options ledger_options_of(manual_clock& clock)
    {
        ledger_options to;
        to.utc = utc_of(clock);
        to.is_coordinator = [](program_id const&) { return true; };
        return to;
    }

    start_leases leases;
    program_ledger ledger;
};

struct loss_fixture
{
    fake_store store;
    manual_clock clock;
    /// Incarnations that the member list names.
    std::set<std::string> alive;
    std::vector<std::unique_ptr<lossy_node>> nodes;
    int incarnations = 0;
    program_id const program{"p1"};
    bool turns_are_kept = false;

    lossy_node& start_node()
    {
        auto const self = "n" + std::to_string(++incarnations);
        alive.insert(self);
        nodes.push_back(
            std::make_unique<lossy_node>(store, clock, self, alive));
        return *nodes.back();
    }

    /// Lets time pass, with leases acquired and renewed.
    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(500))
        {
            for (auto const& one : nodes)
            {
                one->leases.tick();
                one->ledger.tick();
            }
            store.run();
            clock.advance(milliseconds(500));
        }
    }

    /// All nodes die at once, and one starts that knows it.
    lossy_node& restart_all()
    {
        nodes.clear();
        alive.clear();
        auto& node = start_node();
        run(seconds(2));
        return node;
    }

    admission_answer request_turn(
        lossy_node& node, std::uint64_t budget,
        account_role role = account_role::coordinator,
        std::uint64_t tokens = max_turn_tokens)
    {
        auto answer = admission_answer::store_unavailable;
        node.ledger.admit(
            program, {budget, tokens, false, turns_are_kept, role},
            [&answer](admission_answer one) { answer = one; });
        store.run();
        return answer;
    }

    /// Runs turns that each spend the given tokens until one is not admitted.
    /// \return the number of turns admitted
    int run_turns(
        lossy_node& node, std::uint64_t budget, std::uint64_t spent_tokens,
        int most_turns)
    {
        int admitted = 0;
        while (admitted < most_turns &&
               request_turn(node, budget) == admission_answer::admitted)
        {
            ++admitted;
            node.ledger.settle(program, max_turn_tokens, spent_tokens);
            run(milliseconds(500));
        }
        return admitted;
    }
};

} // namespace

TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: a program goes on after each of four losses")
{
    constexpr std::uint64_t budget = 8 * max_turn_tokens;
    for (int losses = 0; losses <= 4; ++losses)
    {
        INFO("losses: " << losses);
        CHECK(run_turns(restart_all(), budget, 264, 1) == 1);
    }
}

TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: a program that begins after one gets its two turns")
{
    restart_all();
    auto& node = restart_all();
    constexpr std::uint64_t budget = 2 * max_turn_tokens;
    CHECK(run_turns(node, budget, max_turn_tokens, 5) == 2);
    CHECK(request_turn(node, budget) == admission_answer::exhausted);
}

// Guards against tries that each reach another node and are refused there
// because that node has only begun to wait for the holder of the lease.
TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: a first turn starts beside escrow at its first try")
{
    restart_all();
    nodes.clear();
    auto& node = start_node();
    run(seconds(2));
    CHECK(
        request_turn(
            node, max_turn_tokens + max_turn_tokens / 2,
            account_role::fallback) == admission_answer::admitted);
}

TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: a dead node's reservation is passed over while the "
    "account changes")
{
    constexpr std::uint64_t budget = 1'000;
    REQUIRE(request_turn(restart_all(), budget) == admission_answer::admitted);
    nodes.clear();
    auto& busy = start_node();
    auto& refused = start_node();
    auto admitted = false;
    for (int i = 0; i < 8 && !admitted; ++i)
    {
        if (request_turn(busy, budget, account_role::fallback, 30) ==
            admission_answer::admitted)
            busy.ledger.settle(program, 30, 10);
        admitted = request_turn(refused, budget, account_role::fallback) ==
                   admission_answer::admitted;
        run(milliseconds(500));
    }
    CHECK(admitted);
}

TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: claims above the budget refuse a turn but do not end "
    "its program")
{
    constexpr std::uint64_t budget = 1'800;
    REQUIRE(request_turn(restart_all(), budget) == admission_answer::admitted);
    auto& node = restart_all();
    CHECK(run_turns(node, budget, 400, 5) == 3);
    CHECK(request_turn(node, budget) == admission_answer::contended);
}

TEST_CASE_METHOD(
    loss_fixture,
    "budget after losses: a live holder does not spend escrow that it never "
    "granted")
{
    auto& holder = restart_all();
    auto& other = start_node();
    constexpr std::uint64_t budget = 2 * max_turn_tokens;
    REQUIRE(
        request_turn(other, budget, account_role::fallback) ==
        admission_answer::admitted);
    other.ledger.settle(program, max_turn_tokens, 264);
    other.ledger.tick();
    store.run();
    CHECK(request_turn(holder, budget) == admission_answer::admitted);
    holder.ledger.settle(program, max_turn_tokens, 264);
    CHECK(request_turn(holder, budget) == admission_answer::admitted);
    holder.ledger.settle(program, max_turn_tokens, 264);
    CHECK(request_turn(holder, budget) == admission_answer::exhausted);
}

struct kept_turns_fixture : loss_fixture
{
    kept_turns_fixture() { turns_are_kept = true; }

    program_account account() const
    {
        auto const* row = store.find(
            {program_ledger::table(), partition_of(program.str()),
             program.str()});
        return row == nullptr ? program_account()
                              : decode_account(row->value).value();
    }
};

// Guards against escrow for a node that died before the program began.
TEST_CASE_METHOD(
    kept_turns_fixture,
    "budget after losses: kept turns of a program that begins after one get "
    "the whole budget")
{
    restart_all();
    auto& node = restart_all();
    constexpr std::uint64_t budget = 3 * max_turn_tokens;
    CHECK(run_turns(node, budget, max_turn_tokens, 5) == 3);
    CHECK(request_turn(node, budget) == admission_answer::exhausted);
}

// Guards against reservations for turns ahead that are lost with their nodes.
TEST_CASE_METHOD(
    kept_turns_fixture,
    "budget after losses: kept turns get the whole budget over four losses")
{
    auto const begins_after_loss = GENERATE(false, true);
    INFO("begins after a loss: " << begins_after_loss);
    if (begins_after_loss)
        restart_all();
    constexpr std::uint64_t budget = 8 * max_turn_tokens;
    constexpr std::uint64_t spent = 400;
    int turns = 0;
    for (int losses = 0; losses <= 4; ++losses)
        turns += run_turns(restart_all(), budget, spent, 1);
    turns += run_turns(*nodes.back(), budget, spent, 100);
    CHECK(turns == 1 + static_cast<int>((budget - max_turn_tokens) / spent));
    CHECK(request_turn(*nodes.back(), budget) == admission_answer::exhausted);
}

TEST_CASE_METHOD(
    kept_turns_fixture,
    "budget after losses: escrow grows when a turn is not kept or larger")
{
    restart_all();
    auto& node = restart_all();
    constexpr std::uint64_t budget = 8 * max_turn_tokens;
    constexpr std::uint64_t small_turn = 100;
    constexpr std::uint64_t large_turn = 1'000;
    auto const escrow = [this] { return account().reserved_by_others("n2"); };
    REQUIRE(
        request_turn(node, budget, account_role::coordinator, small_turn) ==
        admission_answer::admitted);
    CHECK(escrow() == budget / 8);
    REQUIRE(
        request_turn(node, budget, account_role::coordinator, large_turn) ==
        admission_answer::admitted);
    CHECK(escrow() == large_turn);
    turns_are_kept = false;
    REQUIRE(
        request_turn(
            node, budget, account_role::coordinator, 2 * max_turn_tokens) ==
        admission_answer::admitted);
    CHECK(escrow() == budget / 2);
}
