/// \file
/// What each decision costs in time, allocations and memory, from today's
/// size to that of 390 nodes, 3,000 engines and a million programs.

#include "slopes-allocations.hpp"
#include "slopes-sections.hpp"

#include <walnutmill/admission.hpp>
#include <walnutmill/budget_guard.hpp>
#include <walnutmill/capacity.hpp>
#include <walnutmill/fair_queue.hpp>
#include <walnutmill/placement.hpp>
#include <walnutmill/retention.hpp>
#include <walnutmill/retry.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
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

/// What one node sees: all targets, and its share of the programs.
struct node_size
{
    std::uint32_t targets = 0;
    std::uint32_t programs = 0;
};

// Today's 12 + 7 engines; the size of two years ahead, of whose million
// programs a node has 2,564; and programs of one node up to 100,000.
constexpr node_size sizes[] = {{19, 1'000},     {19, 2'564},     {19, 10'000},
                               {19, 100'000},   {390, 2'564},    {3'000, 2'564},
                               {3'000, 10'000}, {3'000, 100'000}};

struct cost
{
    double microseconds = 0.0;
    double allocations = 0.0;
    /// Memory that the structure takes per program or target.
    double bytes_each = 0.0;
};

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

/// All programs have a call waiting; one is taken and its next one comes.
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

target_view make_view(std::uint32_t number)
{
    target_view view;
    view.name = target_of(number);
    view.models = {"model"};
    view.running = number % 12;
    return view;
}

/// Chooses for a call with its history at some target, sends it, and an
/// earlier one ends.
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

/// A plan reads each target once; it is made every few seconds by one node.
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

struct decision
{
    std::string name;
    std::function<cost(node_size, random_fn const&)> measure;
    bool by_targets = false;
    bool by_programs = false;
};

std::vector<decision> decisions()
{
    return {
        {"fair_queue: pop, charge, push", queue_cost, false, true},
        {"placement: choose, send, done", placement_cost, true, false},
        {"placement: report", report_cost, true, false},
        {"admission: end, decide", admission_cost, false, true},
        {"retention: observe, decide", retention_cost, false, false},
        {"retry: failure, success", retry_cost, true, true},
        {"budget_guard: check, answer", guard_cost, false, true},
        {"capacity: plan of all targets", capacity_cost, true, false}};
}

void print_row(
    decision const& of, node_size size, cost const& found, double exponent)
{
    std::cout << std::left << std::setw(32) << of.name << std::right
              << std::setw(8) << size.targets << std::setw(10) << size.programs
              << std::fixed << std::setprecision(3) << std::setw(11)
              << found.microseconds << std::setprecision(2) << std::setw(9)
              << found.allocations << std::setprecision(0) << std::setw(9)
              << found.bytes_each << std::setprecision(2) << std::setw(8)
              << exponent << '\n';
}

/// Whether the decision's cost can depend on what differs from the first.
bool worth_measuring(decision const& of, node_size size, node_size first)
{
    bool const more_targets = size.targets != first.targets;
    bool const more_programs = size.programs != first.programs;
    if (!more_targets && !more_programs)
        return true;
    return (of.by_targets || !more_targets) &&
           (of.by_programs || size.programs == sizes[1].programs) &&
           (of.by_targets || of.by_programs);
}

/// How much larger the size is than the first, in what the decision's cost
/// can depend on.
double growth_of(decision const& of, node_size size)
{
    double growth = 1.0;
    if (of.by_targets)
        growth *= static_cast<double>(size.targets) / sizes[0].targets;
    if (of.by_programs)
        growth *= static_cast<double>(size.programs) / sizes[0].programs;
    return growth;
}

} // namespace

void run_decisions_section(std::uint32_t seed)
{
    std::cout << "decisions (seed " << seed << "): time and allocations per "
              << "decision, bytes per program or target;\n"
              << "slope: exponent of the time against the first size\n"
              << std::left << std::setw(32) << "decision" << std::right
              << std::setw(8) << "targets" << std::setw(10) << "programs"
              << std::setw(11) << "us" << std::setw(9) << "allocs"
              << std::setw(9) << "bytes" << std::setw(8) << "slope" << '\n';
    for (auto const& each : decisions())
    {
        double first = 0.0;
        for (auto const& size : sizes)
        {
            if (!worth_measuring(each, size, sizes[0]))
                continue;
            auto const found = each.measure(size, seeded_random(seed));
            if (first == 0.0)
                first = found.microseconds;
            double const growth = growth_of(each, size);
            double const slope =
                growth > 1.0
                    ? std::log(found.microseconds / first) / std::log(growth)
                    : 0.0;
            print_row(each, size, found, slope);
        }
    }
}

} // namespace slopes
} // namespace walnutmill
