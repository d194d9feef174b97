#include "slopes-decision-costs.hpp"

#include "slopes-allocations.hpp"

#include <walnutmill/admission.hpp>
#include <walnutmill/budget_guard.hpp>
#include <walnutmill/capacity.hpp>
#include <walnutmill/fair_queue.hpp>
#include <walnutmill/placement.hpp>
#include <walnutmill/retention.hpp>
#include <walnutmill/retry.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace walnutmill
{
namespace slopes
{

namespace
{

// Each figure is the median of so many batches: single ones vary with what
// else the machine does.
constexpr std::size_t batches = 7;
constexpr std::uint32_t batch_size = 2'000;
constexpr std::uint32_t workspaces = 8;

using step_fn = std::function<void(std::uint32_t number)>;

double median(std::vector<double> values)
{
    auto const middle = values.begin() + values.size() / 2;
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Times a decision; `number` counts up over all batches.
cost time_decision(step_fn const& step)
{
    using clock = std::chrono::steady_clock;
    std::vector<double> microseconds;
    std::vector<double> allocations;
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < batches; ++i)
    {
        auto const before = allocations_so_far().allocations;
        auto const start = clock::now();
        for (std::uint32_t j = 0; j < batch_size; ++j)
            step(number++);
        std::chrono::duration<double, std::micro> const taken =
            clock::now() - start;
        auto const made = allocations_so_far().allocations - before;
        microseconds.push_back(taken.count() / batch_size);
        allocations.push_back(static_cast<double>(made) / batch_size);
    }
    cost result;
    result.microseconds = median(std::move(microseconds));
    result.allocations = median(std::move(allocations));
    return result;
}

/// Memory that `fill` leaves in use, for each of `count` items.
double bytes_for_each(std::uint32_t count, std::function<void()> const& fill)
{
    auto const before = allocations_so_far().live_bytes;
    fill();
    auto const taken = allocations_so_far().live_bytes - before;
    return static_cast<double>(taken) / count;
}

workspace_name workspace_of(std::uint32_t number)
{
    return workspace_name("workspace-" + std::to_string(number % workspaces));
}

program_id program_of(std::uint32_t number)
{
    return program_id("program-" + std::to_string(number));
}

target_name target_of(std::uint32_t number)
{
    return target_name("target-" + std::to_string(number));
}

time_point time_of(std::uint32_t number)
{
    return time_point(std::chrono::milliseconds(1'000 + number));
}

queued_call make_call(std::uint32_t program, std::uint64_t handle)
{
    queued_call call;
    call.handle = handle;
    call.workspace = workspace_of(program);
    call.root = program_of(program);
    call.enqueued = time_of(program);
    return call;
}

target_view make_view(std::uint32_t number)
{
    target_view view;
    view.name = target_of(number);
    view.models = {"model"};
    view.running = number % 12;
    return view;
}

} // namespace

cost queue_cost(node_size size, random_fn const& random)
{
    fair_queue queue;
    auto const memory = bytes_for_each(
        size.programs,
        [&]
        {
            for (std::uint32_t i = 0; i < size.programs; ++i)
                queue.push(make_call(i, i));
        });
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            auto popped = queue.pop(time_of(size.programs + number));
            auto next = std::move(popped->call);
            attained_service service;
            service.workspace = next.workspace;
            service.root = next.root;
            service.expected = next.expected_work;
            service.work = 10.0 * random();
            queue.charge(service);
            next.handle = size.programs + number;
            next.enqueued = time_of(size.programs + number);
            queue.push(std::move(next));
        });
    found.bytes_each = memory;
    return found;
}

cost placement_cost(node_size size, random_fn const& random)
{
    placement places;
    placement_pool pool;
    pool.service = service_name("service");
    pool.model = "model";
    for (std::uint32_t i = 0; i < size.targets; ++i)
        pool.targets.push_back(target_of(i));
    auto const memory = bytes_for_each(
        size.targets,
        [&]
        {
            places.set_pool(pool);
            for (std::uint32_t i = 0; i < size.targets; ++i)
                places.on_report(make_view(i), time_of(0));
        });
    placement_request request;
    request.service = pool.service;
    request.prompt_tokens = 8'000;
    request.expected_tokens = 150;
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            auto const at = static_cast<std::size_t>(random() * size.targets);
            request.cached = {{pool.targets[at], 7'000}};
            auto const now = time_of(number);
            auto const chosen = places.choose(request, now, random);
            if (chosen.target.empty())
                return;
            sent_call sent;
            sent.target = chosen.target;
            sent.prompt_tokens = request.prompt_tokens;
            sent.expected_tokens = request.expected_tokens;
            auto const ticket = places.on_sent(sent, now);
            places.on_first_token(ticket, now + std::chrono::seconds(1));
            places.on_done(ticket, 150, now + std::chrono::seconds(4));
        });
    found.bytes_each = memory;
    return found;
}

cost report_cost(node_size size, random_fn const& random)
{
    placement places;
    placement_pool pool;
    pool.service = service_name("service");
    pool.model = "model";
    for (std::uint32_t i = 0; i < size.targets; ++i)
        pool.targets.push_back(target_of(i));
    places.set_pool(std::move(pool));
    std::vector<target_view> views;
    for (std::uint32_t i = 0; i < size.targets; ++i)
        views.push_back(make_view(i));
    return time_decision(
        [&](std::uint32_t number)
        {
            auto& view = views[number % size.targets];
            view.running = static_cast<std::uint32_t>(random() * 20);
            places.on_report(view, time_of(number));
        });
}

cost admission_cost(node_size size, random_fn const& random)
{
    admission_options options;
    options.least_per_slot = 1.0;
    options.max_programs = 2 * size.programs;
    admission gate(options);
    load_snapshot load;
    load.slots = 2.0 * size.programs;
    gate.observe(load, time_of(0));
    auto const memory = bytes_for_each(
        size.programs,
        [&]
        {
            for (std::uint32_t i = 0; i < size.programs; ++i)
                gate.decide({workspace_of(i), 1.0}, time_of(1), random);
        });
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            auto const workspace = workspace_of(number);
            gate.on_ended(workspace);
            gate.decide({workspace, 1.0}, time_of(number), random);
        });
    found.bytes_each = memory;
    return found;
}

cost retention_cost(node_size /*size*/, random_fn const& random)
{
    pause_statistics pauses;
    retention keep(pauses);
    retention_request request;
    request.tool = "tool";
    request.cached_tokens = 8'000;
    request.cache_capacity = 400'000;
    return time_decision(
        [&](std::uint32_t)
        {
            auto const pause =
                std::chrono::milliseconds(static_cast<int>(10'000 * random()));
            pauses.observe(request.tool, pause);
            request.memory_pressure = random();
            keep.decide(request);
        });
}

cost retry_cost(node_size size, random_fn const& random)
{
    retry_policy policy;
    auto const memory = bytes_for_each(
        size.programs,
        [&]
        {
            for (std::uint32_t i = 0; i < size.programs; ++i)
                policy.on_success(program_of(i), target_of(i % size.targets));
        });
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            failed_attempt attempt;
            attempt.root = program_of(number % size.programs);
            attempt.target = target_of(number % size.targets);
            attempt.repeatable = true;
            policy.on_failure(attempt, time_of(number), random);
            policy.on_success(attempt.root, attempt.target);
        });
    found.bytes_each = memory;
    return found;
}

cost guard_cost(node_size size, random_fn const& random)
{
    guard_options const options;
    service_name const service("service");
    std::vector<budget_guard> guards;
    auto const memory = bytes_for_each(
        size.programs,
        [&]
        {
            guards.reserve(size.programs);
            for (std::uint32_t i = 0; i < size.programs; ++i)
                guards.emplace_back(options);
        });
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            auto& guard = guards[number % size.programs];
            auto const body = static_cast<std::uint64_t>(1e9 * random());
            if (guard.check_call(service, body).allowed())
                guard.on_answer(service, body, body);
        });
    found.bytes_each = memory;
    return found;
}

cost capacity_cost(node_size size, random_fn const& random)
{
    capacity_snapshot snapshot;
    for (std::uint32_t i = 0; i < size.targets; ++i)
    {
        capacity_target target;
        target.name = target_of(i);
        target.state = i % 3 == 0 ? power_state::off : power_state::serving;
        snapshot.targets.push_back(std::move(target));
    }
    capacity_planner planner;
    auto number_of_plan = 0u;
    auto found = time_decision(
        [&](std::uint32_t number)
        {
            // One plan stands for a hundred steps: the large ones are slow.
            if (number % 100 != 0)
                return;
            for (auto& target : snapshot.targets)
                target.running = static_cast<std::uint32_t>(16 * random());
            planner.plan(snapshot, time_of(5'000 * ++number_of_plan));
        });
    found.microseconds *= 100.0;
    found.allocations *= 100.0;
    return found;
}

} // namespace slopes
} // namespace walnutmill
