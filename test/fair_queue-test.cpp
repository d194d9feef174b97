#include <walnutmill/fair_queue.hpp>
#include <walnutmill/random.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

struct fair_queue_fixture
{
    fair_queue queue;
    time_point now{seconds(100)};
    std::uint64_t last_handle = 0;

    queued_call make(std::string workspace, std::string root, double work = 1.0)
    {
        queued_call call;
        call.handle = ++last_handle;
        call.workspace = workspace_name(std::move(workspace));
        call.root = program_id(std::move(root));
        call.expected_work = work;
        call.enqueued = now;
        return call;
    }

    std::uint64_t
    push(std::string workspace, std::string root, double work = 1.0)
    {
        queue.push(make(std::move(workspace), std::move(root), work));
        return last_handle;
    }

    std::uint64_t pop()
    {
        auto popped = queue.pop(now);
        return popped ? popped->call.handle : 0;
    }
};

/// The same order, found by looking at every call each time.
class naive_queue
{
public:
    explicit naive_queue(fair_queue_options options) : options_(options) {}

    void push(queued_call const& call)
    {
        if (!has_calls(call.workspace))
            tags_[call.workspace] =
                std::max(tags_[call.workspace], virtual_time_);
        serials_.emplace(call.root, serials_.size());
        calls_.push_back(call);
    }

    std::uint64_t pop()
    {
        if (calls_.empty())
            return 0;
        auto next = std::min_element(
            calls_.begin(), calls_.end(),
            [this](auto const& a, auto const& b) { return before(a, b); });
        auto call = *next;
        calls_.erase(next);
        auto& tag = tags_[call.workspace];
        virtual_time_ = std::max(virtual_time_, tag);
        charge(call, call.expected_work);
        return call.handle;
    }

    void charge(queued_call const& call, double work)
    {
        attained_[call.root] = std::max(0.0, attained_[call.root] + work);
        tags_[call.workspace] += work / call.workspace_weight;
    }

    void erase(std::uint64_t handle)
    {
        calls_.erase(
            std::remove_if(
                calls_.begin(), calls_.end(),
                [&](auto const& call) { return call.handle == handle; }),
            calls_.end());
    }

private:
    bool has_calls(workspace_name const& workspace) const
    {
        return std::any_of(
            calls_.begin(), calls_.end(),
            [&](auto const& call) { return call.workspace == workspace; });
    }

    double rank(program_id const& root)
    {
        time_point first = time_point::max();
        for (auto const& call : calls_)
            if (call.root == root)
                first = std::min(first, call.enqueued);
        double level = 0.0;
        for (double at = options_.first_level; at <= attained_[root]; at *= 2)
            level = at;
        auto arrival = std::chrono::duration<double>(first.time_since_epoch());
        return level + options_.aging_rate * arrival.count();
    }

    bool before(queued_call const& a, queued_call const& b)
    {
        auto key = [this](queued_call const& call)
        {
            return std::make_tuple(
                tags_[call.workspace], call.workspace, rank(call.root),
                serials_[call.root], call.enqueued, call.handle);
        };
        return key(a) < key(b);
    }

    fair_queue_options options_;
    std::deque<queued_call> calls_;
    std::map<workspace_name, double> tags_;
    std::map<program_id, double> attained_;
    std::map<program_id, std::size_t> serials_;
    double virtual_time_ = 0.0;
};

} // namespace

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, random operations, takes calls in the naive order",
    "[fair_queue]")
{
    auto seed = GENERATE(range(1u, 11u));
    INFO("seed " << seed);
    auto random = seeded_random(seed);
    auto pick = [&](unsigned n) { return static_cast<unsigned>(random() * n); };
    naive_queue naive{fair_queue_options()};
    std::vector<queued_call> served;
    for (int step = 0; step < 600; ++step)
    {
        now += std::chrono::milliseconds(pick(400));
        auto root = pick(12);
        if (random() < 0.5)
        {
            auto call = make(
                "w" + std::to_string(root % 3), "p" + std::to_string(root),
                0.25 * (1 + pick(16)));
            call.workspace_weight = 1.0 + root % 3;
            REQUIRE(queue.push(call));
            naive.push(call);
        }
        else if (random() < 0.8)
        {
            auto popped = queue.pop(now);
            REQUIRE((popped ? popped->call.handle : 0) == naive.pop());
            if (popped)
                served.push_back(popped->call);
        }
        else if (random() < 0.5 && !served.empty())
        {
            auto call = served[pick(served.size())];
            queue.charge({call.workspace, call.root, 1.0, 3.5});
            naive.charge(call, 2.5);
        }
        else
        {
            auto handle = 1 + pick(last_handle + 1);
            queue.erase(handle);
            naive.erase(handle);
        }
    }
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, one workspace sends nine calls of ten, both get their weight",
    "[fair_queue]")
{
    for (int i = 0; i < 900; ++i)
        push("hot", "h" + std::to_string(i));
    for (int i = 0; i < 100; ++i)
        push("cold", "c" + std::to_string(i));
    int cold = 0;
    for (int i = 0; i < 200; ++i)
        cold += queue.pop(now)->call.workspace.str() == "cold" ? 1 : 0;
    REQUIRE(cold == 100);
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, long program among short ones, short ones go first",
    "[fair_queue]")
{
    push("w", "long", 40.0);
    REQUIRE(pop() == 1);
    auto rest = push("w", "long");
    auto shorter = push("w", "short");
    REQUIRE(pop() == shorter);
    REQUIRE(pop() == rest);
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, short programs without end, the long one still gets its turn",
    "[fair_queue]")
{
    push("w", "long", 40.0);
    pop();
    auto waiting = push("w", "long");
    // Level 32 at a twentieth of a slot-second a second is passed for 640 s.
    int passed = 0;
    popped_call popped;
    while (popped.call.handle != waiting)
    {
        push("w", "s" + std::to_string(passed++));
        now += seconds(1);
        popped = *queue.pop(now);
    }
    REQUIRE(passed <= 642);
    REQUIRE(popped.reason == queue_reason::aged);
    REQUIRE(popped.waited >= seconds(640));
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, workspace far above its share, gets a worse priority",
    "[fair_queue]")
{
    for (int i = 0; i < 30; ++i)
    {
        push("hot", "h" + std::to_string(i % 3), 2.0);
        pop();
    }
    push("cold", "c", 4.0);
    pop();
    push("hot", "another", 4.0);
    pop();
    push("cold", "c");
    auto cold = queue.pop(now);
    push("hot", "another");
    auto hot = queue.pop(now);
    REQUIRE(hot->priority > cold->priority);
    // What was used long ago no longer counts.
    now += seconds(600);
    push("cold", "c");
    auto later = queue.pop(now);
    push("hot", "another");
    REQUIRE(queue.pop(now)->priority == Approx(later->priority).margin(4.0));
}

TEST_CASE_METHOD(
    fair_queue_fixture, "fair queue, sub-agents of one root, count together",
    "[fair_queue]")
{
    for (int i = 0; i < 4; ++i)
        push("w", "fan", 1.0);
    auto single = push("w", "single", 1.0);
    pop();
    pop();
    // Two slot-seconds put the root on the second level.
    REQUIRE(pop() == single);
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, calls before are not eligible, takes the first that is",
    "[fair_queue]")
{
    push("w", "a");
    auto second = push("w", "b");
    auto popped = queue.pop(
        now, [&](queued_call const& call) { return call.handle == second; });
    REQUIRE(popped->call.handle == second);
    REQUIRE(popped->reason == queue_reason::first_eligible);

    for (int i = 0; i < 100; ++i)
        push("w", "n" + std::to_string(i));
    int asked = 0;
    auto none = queue.pop(now, [&](auto const&) { return ++asked < 0; });
    REQUIRE_FALSE(none);
    REQUIRE(asked == 16);
}

TEST_CASE_METHOD(
    fair_queue_fixture, "fair queue, deadline passed, the call is not served",
    "[fair_queue]")
{
    auto call = make("w", "p");
    call.deadline = now + seconds(1);
    queue.push(call);
    now += seconds(1);
    REQUIRE(pop() == 0);
    auto expired = queue.take_expired(now);
    REQUIRE(expired.size() == 1);
    REQUIRE(queue.empty());
}

TEST_CASE_METHOD(
    fair_queue_fixture,
    "fair queue, program ends, its waiting calls are dropped", "[fair_queue]")
{
    push("w", "ends", 5.0);
    pop();
    auto first = push("w", "ends");
    auto second = push("w", "ends");
    REQUIRE(queue.attained(program_id("ends")) == 5.0);
    REQUIRE(
        queue.forget(program_id("ends")) ==
        std::vector<std::uint64_t>{first, second});
    REQUIRE(queue.attained(program_id("ends")) == 0.0);
    REQUIRE_FALSE(queue.oldest());
    REQUIRE_FALSE(queue.erase(first));
}

TEST_CASE_METHOD(
    fair_queue_fixture, "fair queue, program has had a turn, is young no more",
    "[fair_queue]")
{
    push("w", "p", 5.0);
    push("w", "p", 5.0);
    push("w", "q", 5.0);
    REQUIRE(queue.young_calls() == 3);
    REQUIRE(queue.pop(now)->young);
    REQUIRE(queue.young_calls() == 1);
    REQUIRE(queue.pop(now)->young);
    REQUIRE_FALSE(queue.pop(now)->young);
    REQUIRE(queue.young_calls() == 0);
}

TEST_CASE_METHOD(
    fair_queue_fixture, "fair queue, handle known already, refuses it",
    "[fair_queue]")
{
    auto call = make("w", "p");
    REQUIRE(queue.push(call));
    REQUIRE_FALSE(queue.push(call));
    REQUIRE(queue.size() == 1);
    REQUIRE(queue.oldest() == now);
}
