#ifndef WALNUTMILL_TEST_OWNER_WORLD_HPP
#define WALNUTMILL_TEST_OWNER_WORLD_HPP

/// \file
/// One shard's owner, its journal, the table and the targets in a single
/// thread: every event is a step at which a test may inject a fault, a crash
/// or a freeze. What callers were told and what targets did is recorded apart
/// from the code under test.

#include <walnutmill/hash.hpp>

#include "fake_table.hpp"
#include "journal.hpp"
#include "program_owner.hpp"
#include "recovery.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

/// What a model answers: a function of the whole conversation, so that an
/// answer shows which history the engine saw.
inline std::string model_answer(std::vector<turn> const& turns)
{
    std::string all;
    for (auto const& one : turns)
        all += one.role + ":" + one.text + "\n";
    return "a" + std::to_string(stable_hash(all) % 1'000'000);
}

inline std::shared_ptr<configuration const> world_configuration()
{
    auto config = std::make_shared<configuration>();
    config->version = 1;
    config->zones = {zone_name("bern-hall")};
    target_config engine;
    engine.zone = zone_name("bern-hall");
    engine.models = {"m"};
    for (auto const* name : {"e1", "e2"})
    {
        engine.name = target_name(name);
        config->targets.push_back(engine);
    }
    target_config plain;
    plain.kind = target_kind::plain;
    plain.zone = zone_name("bern-hall");
    plain.name = target_name("depot");
    config->targets.push_back(plain);
    plain.name = target_name("asked");
    plain.answers_outcome_queries = true;
    config->targets.push_back(plain);
    service_config service;
    service.name = service_name("chat");
    service.model = "m";
    service.targets = {target_name("e1"), target_name("e2")};
    config->services.push_back(service);
    service.kind = target_kind::plain;
    service.model = "";
    service.repeatable = false;
    service.call_cost = 7;
    service.name = service_name("orders");
    service.targets = {target_name("depot")};
    config->services.push_back(service);
    service.name = service_name("bookings");
    service.targets = {target_name("asked")};
    config->services.push_back(service);
    workspace_config workspace;
    workspace.name = workspace_name("bern");
    workspace.services = {
        service_name("chat"), service_name("orders"), service_name("bookings")};
    config->workspaces.push_back(workspace);
    workspace.name = workspace_name("basel");
    config->workspaces.push_back(workspace);
    config->limits.budget_slice = 100;
    return config;
}

/// A send that a target has received.
struct target_send
{
    std::size_t node = 0;
    attempt_id attempt = 0;
    target_name target;
    program_id program;
    /// The call's key at the target.
    request_id key;
    /// Of a model call.
    std::vector<turn> turns;
    std::uint64_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    bool query = false;
};

/// What a caller was told of one request; the last word counts.
struct caller_word
{
    bool told = false;
    caller_result result = refusal{};
};

/// The session of a node as this world runs it.
struct world_node
{
    world_node(session_state opened, scheduling_hooks hooks)
        : log(std::move(opened)), owner(std::move(hooks), 1)
    {
    }
    journal log;
    program_owner owner;
    std::map<ticket, std::uint64_t> tokens;
};

class owner_world
{
public:
    owner_world() : config_(world_configuration()) { start_node(); }

    program_owner& owner() { return nodes_.back()->owner; }
    time_point now() const { return clock_.now(); }
    void advance(duration by) { clock_.advance(by); }

    /// Hands a request in at the current owner.
    std::shared_ptr<caller_word> ask(caller_request const& request)
    {
        auto word = std::make_shared<caller_word>();
        answer_sink sink;
        sink.event = [](stream_event const&) {};
        sink.done = [word](caller_result result)
        {
            word->told = true;
            word->result = std::move(result);
        };
        owner().request(request, sink, now());
        pump(nodes_.size() - 1);
        return word;
    }

    /// Runs what a node has to do short of commits and targets.
    void pump(std::size_t index)
    {
        auto& node = *nodes_[index];
        node.owner.tick(now());
        for (auto& effect : node.owner.take_effects())
            execute(index, effect);
    }

    /// One exchange of a node with the table.
    void commit(std::size_t index)
    {
        auto& node = *nodes_[index];
        if (node.log.in_doubt())
        {
            auto const key = session_key(node.log.session().id);
            auto const rows = table_.table().read({key});
            if (!rows)
                return;
            std::optional<std::string> value;
            if (!rows.value().empty())
                value = rows.value().front().value;
            take(index, node.log.on_row(value));
        }
        else if (auto const txn = node.log.next(false))
            take(index, node.log.on_result(table_.table().commit(*txn)));
        if (node.log.fenced())
            node.owner.fence(now());
        pump(index);
    }

    /// The target does the oldest work it has and answers.
    void answer_send(bool answer_arrives = true)
    {
        auto const send = sends.front();
        sends.pop_front();
        if (send.query)
            return answer_query(send);
        ++executions[send.key.str()];
        // Within what the caller allowed, every call costs the most it may.
        cost += send.turns.empty() ? 7 : send.prompt_tokens + send.max_tokens;
        if (!send.turns.empty())
            turns_seen[send.key.str()] = send.turns;
        if (!answer_arrives)
            return fail(send, certainty::outcome_unknown);
        auto const output =
            send.turns.empty() ? "done" : model_answer(send.turns);
        owner_of(send).on_answer(
            send.attempt, {output, send.prompt_tokens, send.max_tokens}, now());
        pump(send.node);
    }

    /// The target declines the oldest work: it does not run.
    void decline_send()
    {
        auto const send = sends.front();
        sends.pop_front();
        fail(send, certainty::not_run);
    }

    /// The current node dies; a new session fences it and takes over.
    void crash()
    {
        fence(nodes_.size() - 1);
        sends_lost_ += sends.size();
        start_node();
    }

    /// As crash(), but the old node goes on: it was frozen and wakes.
    std::size_t freeze_and_wake()
    {
        auto const old = nodes_.size() - 1;
        fence(old);
        start_node();
        return old;
    }

    /// Commits until the current node has nothing left to commit.
    void settle()
    {
        constexpr int enough = 64;
        for (int i = 0; i < enough && busy(); ++i)
            commit(nodes_.size() - 1);
    }

    /// One exchange of the current node with the table.
    void settle_once() { commit(nodes_.size() - 1); }
    void pump_current() { pump(nodes_.size() - 1); }

    bool busy() const
    {
        auto const& log = nodes_.back()->log;
        return !log.fenced() && (log.busy() || log.in_doubt());
    }

    fake_table table_;
    std::deque<target_send> sends;
    /// Times that each key ran at a target.
    std::map<std::string, int> executions;
    std::map<std::string, std::vector<turn>> turns_seen;
    std::vector<release_effect> releases;
    /// Units that targets have truly used.
    std::uint64_t cost = 0;

private:
    program_owner& owner_of(target_send const& send)
    {
        return nodes_[send.node]->owner;
    }

    void fail(target_send const& send, certainty ran)
    {
        refusal why;
        why.code = errc::target_failed;
        why.ran = ran;
        owner_of(send).on_failure(send.attempt, why, now());
        pump(send.node);
    }

    void answer_query(target_send const& send)
    {
        if (executions[send.key.str()] > 0)
            owner_of(send).on_answer(send.attempt, {"done", 0, 0}, now());
        else
            return fail(send, certainty::not_run);
        pump(send.node);
    }

    void take(std::size_t index, std::vector<ticket_result> const& results)
    {
        auto& node = *nodes_[index];
        for (auto const& result : results)
        {
            auto const found = node.tokens.find(result.id);
            if (found != node.tokens.end())
                node.owner.on_committed(found->second, now());
        }
    }

    void execute(std::size_t index, owner_effect& effect)
    {
        auto& node = *nodes_[index];
        if (auto* append = std::get_if<append_effect>(&effect))
            node.tokens[node.log.append(append->records)] = append->token;
        else if (auto const* m = std::get_if<model_effect>(&effect))
        {
            std::uint64_t prompt = 0;
            for (auto const& one : m->turns)
                prompt += one.text.size() / 4 + 1;
            sends.push_back(
                {index, m->attempt, m->target, m->program, m->request, m->turns,
                 prompt, m->max_tokens, false});
        }
        else if (auto const* p = std::get_if<plain_effect>(&effect))
        {
            // As the shipped node does: a stale owner sends nothing that may
            // not be repeated.
            if (!p->repeatable && index + 1 != nodes_.size())
            {
                refusal why;
                why.code = errc::unavailable;
                node.owner.on_failure(p->attempt, why, now());
                return;
            }
            sends.push_back(
                {index,
                 p->attempt,
                 p->target,
                 p->program,
                 p->request,
                 {},
                 0,
                 0,
                 false});
        }
        else if (auto const* q = std::get_if<query_effect>(&effect))
            sends.push_back(
                {index,
                 q->attempt,
                 q->target,
                 q->program,
                 q->request,
                 {},
                 0,
                 0,
                 true});
        else if (auto const* r = std::get_if<release_effect>(&effect))
            releases.push_back(*r);
    }

    void fence(std::size_t index)
    {
        auto const key = session_key(nodes_[index]->log.session().id);
        auto row = decode_session(table_.rows().at(key)).value();
        row.fenced = true;
        table_.set_row(key, encode_session(row));
    }

    void start_node()
    {
        session_state opened;
        opened.id = session_id("n." + std::to_string(nodes_.size()));
        table_.set_row(session_key(opened.id), encode_session(opened));
        nodes_.push_back(std::make_unique<world_node>(
            opened, plain_scheduling([this] { return config_; })));
        row_ = with_owner_row(opened.id);
        auto records = recover_shards(table_.table(), table_.store(), {row_});
        // The shipped node, too, tries again until the platform answers.
        while (!records)
            records = recover_shards(table_.table(), table_.store(), {row_});
        auto& owner = nodes_.back()->owner;
        owner.set_configuration(config_);
        owner.load_shard(
            0, row_.epoch, records.value().shards.front().records, now());
        pump(nodes_.size() - 1);
    }

    shard_state with_owner_row(session_id const& id)
    {
        auto after = row_;
        after.owner = id;
        ++after.epoch;
        after.segments.push_back({id, after.epoch});
        return after;
    }

    manual_clock clock_;
    std::shared_ptr<configuration const> config_;
    shard_state row_;
    std::vector<std::unique_ptr<world_node>> nodes_;
    std::size_t sends_lost_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif
