#include <walnutmill/fair_queue.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{

namespace
{

double seconds_of(time_point at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

} // namespace

std::string_view to_string(queue_reason reason)
{
    switch (reason)
    {
    case queue_reason::least_attained:
        return "least_attained";
    case queue_reason::aged:
        return "aged";
    case queue_reason::first_eligible:
        return "first_eligible";
    }
    return "least_attained";
}

fair_queue::fair_queue(fair_queue_options options) : options_(options) {}

double fair_queue::level_of(double attained) const
{
    if (attained < options_.first_level)
        return 0.0;
    double doublings = std::floor(std::log2(attained / options_.first_level));
    return options_.first_level * std::exp2(doublings);
}

bool fair_queue::is_young(program_state const& program) const
{
    return program.attained < options_.young_below;
}

fair_queue::program_key fair_queue::key_of(program_state const& program) const
{
    double arrival = seconds_of(program.waiting.begin()->at);
    double rank = level_of(program.attained) + options_.aging_rate * arrival;
    return {rank, program.serial};
}

fair_queue::program_state& fair_queue::program_of(queued_call const& call)
{
    auto [found, added] = programs_.try_emplace(call.root);
    if (added)
    {
        found->second.root = call.root;
        found->second.workspace = call.workspace;
        found->second.serial = next_serial_++;
    }
    return found->second;
}

void fair_queue::enter(program_state& program)
{
    if (program.waiting.empty())
        return;
    auto& workspace = workspaces_[program.workspace];
    if (workspace.ready.empty())
    {
        // An idle workspace saves up no share for later.
        workspace.start_tag = std::max(workspace.start_tag, virtual_time_);
        backlogged_.insert({workspace.start_tag, program.workspace});
    }
    program.key = key_of(program);
    workspace.ready.emplace(program.key, &program);
    workspace.levels.insert(level_of(program.attained));
    if (is_young(program))
        young_calls_ += program.waiting.size();
}

void fair_queue::leave(program_state& program)
{
    if (program.waiting.empty())
        return;
    auto& workspace = workspaces_[program.workspace];
    workspace.ready.erase(program.key);
    workspace.levels.erase(workspace.levels.find(level_of(program.attained)));
    if (is_young(program))
        young_calls_ -= program.waiting.size();
    if (workspace.ready.empty())
        backlogged_.erase({workspace.start_tag, program.workspace});
}

void fair_queue::set_weight(workspace_state& workspace, double weight)
{
    weight_ += weight - workspace.weight;
    workspace.weight = weight;
}

bool fair_queue::push(queued_call call)
{
    if (calls_.count(call.handle) != 0)
        return false;
    auto& program = program_of(call);
    set_weight(workspaces_[program.workspace], call.workspace_weight);
    leave(program);
    program.waiting.insert({call.enqueued, call.handle});
    enter(program);
    by_arrival_.insert({call.enqueued, call.handle});
    by_deadline_.insert({call.deadline, call.handle});
    calls_.emplace(call.handle, std::move(call));
    return true;
}

void fair_queue::unlink(queued_call const& call)
{
    auto& program = programs_.at(call.root);
    leave(program);
    program.waiting.erase({call.enqueued, call.handle});
    enter(program);
    by_arrival_.erase({call.enqueued, call.handle});
    by_deadline_.erase({call.deadline, call.handle});
}

bool fair_queue::erase(std::uint64_t handle)
{
    auto found = calls_.find(handle);
    if (found == calls_.end())
        return false;
    unlink(found->second);
    calls_.erase(found);
    return true;
}

std::vector<queued_call> fair_queue::take_expired(time_point now)
{
    std::vector<queued_call> expired;
    while (!by_deadline_.empty() && by_deadline_.begin()->at <= now)
    {
        auto found = calls_.find(by_deadline_.begin()->handle);
        unlink(found->second);
        expired.push_back(std::move(found->second));
        calls_.erase(found);
    }
    return expired;
}

std::optional<popped_call>
fair_queue::pop(time_point now, eligible_fn const& eligible)
{
    now_ = now;
    std::size_t examined = 0;
    for (auto const& key : backlogged_)
    {
        for (auto const& ready : workspaces_.at(key.name).ready)
        {
            for (auto const& waiting : ready.second->waiting)
            {
                if (examined == options_.max_examined)
                    return std::nullopt;
                ++examined;
                auto const& call = calls_.at(waiting.handle);
                if (call.deadline > now && (!eligible || eligible(call)))
                    return take(call, now, examined > 1);
            }
        }
    }
    return std::nullopt;
}

popped_call
fair_queue::take(queued_call const& chosen, time_point now, bool skipped)
{
    auto& program = programs_.at(chosen.root);
    auto& workspace = workspaces_.at(program.workspace);
    popped_call popped;
    popped.call = chosen;
    popped.waited = now - chosen.enqueued;
    popped.young = is_young(program);
    if (skipped)
        popped.reason = queue_reason::first_eligible;
    else if (level_of(program.attained) > *workspace.levels.begin())
        popped.reason = queue_reason::aged;
    popped.priority = level_of(program.attained) * overuse(workspace) +
                      options_.aging_rate * seconds_of(chosen.enqueued);
    virtual_time_ = std::max(virtual_time_, workspace.start_tag);
    erase(popped.call.handle);
    add_work(program, popped.call.expected_work);
    return popped;
}

double fair_queue::decayed(double used, time_point at) const
{
    auto elapsed = std::chrono::duration<double>(now_ - at);
    auto constant = std::chrono::duration<double>(options_.usage_memory);
    return used * std::exp(-std::max(0.0, elapsed / constant));
}

void fair_queue::use(workspace_state& workspace, double work)
{
    workspace.used =
        std::max(0.0, decayed(workspace.used, workspace.used_at) + work);
    workspace.used_at = now_;
    used_ = std::max(0.0, decayed(used_, used_at_) + work);
    used_at_ = now_;
}

double fair_queue::overuse(workspace_state const& workspace) const
{
    double all = decayed(used_, used_at_) / weight_;
    double own = decayed(workspace.used, workspace.used_at) / workspace.weight;
    return all > 0.0 ? std::max(1.0, own / all) : 1.0;
}

void fair_queue::add_work(program_state& program, double work)
{
    leave(program);
    program.attained = std::max(0.0, program.attained + work);
    enter(program);
    advance(program.workspace, work);
}

void fair_queue::advance(workspace_name const& name, double work)
{
    auto& workspace = workspaces_.at(name);
    bool backlogged = !workspace.ready.empty();
    if (backlogged)
        backlogged_.erase({workspace.start_tag, name});
    workspace.start_tag += work / workspace.weight;
    use(workspace, work);
    if (backlogged)
        backlogged_.insert({workspace.start_tag, name});
}

void fair_queue::charge(attained_service const& service)
{
    double correction = service.work - service.expected;
    auto program = programs_.find(service.root);
    if (program != programs_.end())
        add_work(program->second, correction);
    else if (workspaces_.count(service.workspace) != 0)
        advance(service.workspace, correction);
}

std::vector<std::uint64_t> fair_queue::forget(program_id const& root)
{
    std::vector<std::uint64_t> dropped;
    auto found = programs_.find(root);
    if (found == programs_.end())
        return dropped;
    for (auto const& waiting : found->second.waiting)
        dropped.push_back(waiting.handle);
    for (auto handle : dropped)
        erase(handle);
    programs_.erase(found);
    return dropped;
}

double fair_queue::attained(program_id const& root) const
{
    auto found = programs_.find(root);
    return found == programs_.end() ? 0.0 : found->second.attained;
}

std::optional<time_point> fair_queue::oldest() const
{
    if (by_arrival_.empty())
        return std::nullopt;
    return by_arrival_.begin()->at;
}

} // namespace walnutmill
