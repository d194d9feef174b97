#include "operator_backend.hpp"

#include "node_rows.hpp"
#include "operate_store.hpp"
#include "sha256.hpp"
#include "steward_commit.hpp"

#include <future>
#include <random>

namespace walnutmill
{
namespace
{

/// How long an operator's request waits for a program's owner.
constexpr std::chrono::seconds owner_timeout{5};

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::string random_id()
{
    constexpr std::size_t digits = 16;
    std::random_device source;
    return sha256_hex(
               std::to_string(source()) + "/" + std::to_string(source()) + "/" +
               std::to_string(source()))
        .substr(0, digits);
}

/// Sends a request to a program's owner and waits for the answer.
caller_result ask_owner(forwarding& forward, caller_request request)
{
    auto const promise = std::make_shared<std::promise<caller_result>>();
    auto answer = promise->get_future();
    forward.submit(
        std::move(request),
        {[](stream_event const&) {}, [promise](caller_result result)
         { promise->set_value(std::move(result)); }});
    if (answer.wait_for(owner_timeout) == std::future_status::ready)
        return answer.get();
    refusal why;
    why.code = errc::unavailable;
    why.ran = certainty::outcome_unknown;
    why.message = "the program's owner does not answer";
    return why;
}

result<void> without_answer(caller_result const& result)
{
    if (!result)
        return result.error();
    return boost::outcome_v2::success();
}

gathered_rows gather(backend_parts const& parts, table_kind kind)
{
    gathered_rows all;
    auto const view = parts.routes.get();
    switch (kind)
    {
    case table_kind::programs:
    case table_kind::holds:
    case table_kind::links:
        all.table = parts.questions.rows(kind, all.nodes);
        break;
    case table_kind::nodes:
        all.table = node_rows(*view, parts.gossip.members());
        break;
    case table_kind::machines:
        all.table = machine_rows(*view);
        break;
    case table_kind::zones:
        all.table = live_zone_rows(*view);
        break;
    case table_kind::targets:
        all.table = parts.steward_rows();
        break;
    default:
        all.table.columns = columns_of(kind);
        break;
    }
    return all;
}

} // namespace

std::vector<configuration_ack> acks_of(ownership_view const& view)
{
    std::vector<configuration_ack> acks;
    for (auto const& session : view.sessions)
        acks.push_back({session.id, session.configuration, session.fenced});
    return acks;
}

std::vector<stewarded_target> stewarded_by(
    session_id const& self, configuration const& config,
    ownership_view const& view, std::uint32_t shards)
{
    std::vector<stewarded_target> own;
    for (auto const& target : config.targets)
    {
        auto const shard = steward_shard(target.name, shards);
        if (target.kind == target_kind::engine && shard < view.shards.size() &&
            view.shards[shard].owner == self)
            own.push_back({target, view.shards[shard].epoch});
    }
    return own;
}

operate_hooks make_operate_hooks(backend_parts const& parts)
{
    operate_hooks hooks;
    use_store(hooks, parts.store);
    hooks.in_force = parts.in_force;
    hooks.accepted_version = [parts]
    {
        return accepted_version(
            parts.in_force()->version, acks_of(*parts.routes.get()));
    };
    hooks.propose =
        [parts, propose = hooks.propose](configuration_proposal const& proposal)
    {
        auto outcome = propose(proposal);
        parts.changed();
        return outcome;
    };
    hooks.table = parts.table;
    hooks.gather = [parts](table_kind kind) { return gather(parts, kind); };
    hooks.decisions = [parts](program_id const& program)
    {
        gathered_decisions all;
        all.entries = parts.questions.decisions(program, all.nodes);
        return all;
    };
    hooks.check_program =
        [parts](program_id const& program, workspace_name const& workspace)
    {
        return without_answer(
            ask_owner(parts.forward, view_request{program, workspace}));
    };
    hooks.end_program =
        [parts](program_id const& program, workspace_name const& workspace)
    {
        return without_answer(ask_owner(
            parts.forward,
            end_request{program, workspace, end_reason::canceled}));
    };
    hooks.set_budget = [parts](
                           program_id const& program,
                           workspace_name const& workspace, std::uint64_t units)
    {
        return without_answer(ask_owner(
            parts.forward, budget_request{program, workspace, units}));
    };
    hooks.now = wall_now;
    hooks.new_id = random_id;
    return hooks;
}

steward_hooks make_steward_hooks(backend_parts const& parts)
{
    steward_hooks hooks;
    hooks.stewarded = [parts]
    {
        // Held here: both may be replaced while they are read.
        auto const view = parts.routes.get();
        auto const config = parts.in_force();
        return stewarded_by(parts.self, *config, *view, parts.shards);
    };
    hooks.version = [parts] { return parts.in_force()->version; };
    hooks.accepted_version = [parts]
    {
        return accepted_version(
            parts.in_force()->version, acks_of(*parts.routes.get()));
    };
    hooks.weight_loads = [parts]
    { return parts.in_force()->limits.weight_loads; };
    hooks.commit = make_steward_commit(
        parts.table,
        [parts](exclusive_commit work)
        { return parts.journal.exclusive(std::move(work)); },
        parts.self, parts.shards);
    hooks.scan = [parts](std::string_view prefix)
    { return scan_all(parts.table, prefix); };
    hooks.session_fenced = [parts](session_id const& session)
    {
        auto const view = parts.routes.get();
        auto const* row = view->find_session(session);
        return row != nullptr && row->fenced;
    };
    hooks.liveness = [parts](std::vector<program_id> const& programs)
    { return parts.questions.liveness(programs); };
    hooks.wall_clock = wall_now;
    hooks.connect = make_target_link;
    return hooks;
}

} // namespace walnutmill
