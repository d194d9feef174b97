#include "peer_questions.hpp"

#include <walnutmill/hash.hpp>

#include "cbor.hpp"
#include "node_rows.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr std::string_view rows_topic = "rows";
constexpr std::string_view decisions_topic = "decisions";
constexpr std::string_view liveness_topic = "liveness";
/// An operator waits for it; a node that is slower is named as silent.
constexpr std::chrono::seconds answer_timeout{2};
/// Programs that one node lists, so that an answer stays within a frame.
constexpr std::size_t max_listed_programs = 5'000;

struct gathering
{
    std::mutex mutex;
    std::condition_variable done;
    std::vector<peer_answer> answers;
    std::size_t open = 0;
};

refusal silent()
{
    refusal why;
    why.code = errc::unavailable;
    why.message = "no answer in time";
    return why;
}

std::string to_bytes(json const& j)
{
    std::string bytes;
    json::to_cbor(j, bytes);
    return bytes;
}

json from_bytes(std::string_view bytes)
{
    return decode_cbor(bytes);
}

} // namespace

std::vector<peer_answer> ask_peers(
    peer_hub& hub, std::string_view topic,
    std::vector<peer_question> const& questions)
{
    // Shared, since answers may come after the timeout.
    auto const all = std::make_shared<gathering>();
    all->open = questions.size();
    for (auto const& question : questions)
        all->answers.push_back({question.node, silent()});
    for (std::size_t i = 0; i < questions.size(); ++i)
    {
        hub.request(
            questions[i].address, topic, questions[i].body,
            [](std::string_view) {},
            [all, i](result<std::string> const& reply)
            {
                std::lock_guard<std::mutex> lock(all->mutex);
                all->answers[i].body = reply;
                --all->open;
                all->done.notify_all();
            });
    }
    std::unique_lock<std::mutex> lock(all->mutex);
    all->done.wait_for(lock, answer_timeout, [&] { return all->open == 0; });
    return all->answers;
}

peer_questions::peer_questions(parts of_node) : parts_(std::move(of_node)) {}

void peer_questions::add_handlers(
    peer_hub& hub, std::function<peer_questions*()> const& current)
{
    using serve =
        void (peer_questions::*)(std::string_view, peer_responder const&);
    auto const add = [&](std::string_view topic, serve handler)
    {
        hub.on_request(
            std::string(topic),
            [current,
             handler](std::string_view body, peer_responder const& responder)
            {
                if (auto* questions = current())
                    (questions->*handler)(body, responder);
                else
                    responder.reply({});
            });
    };
    add(rows_topic, &peer_questions::serve_rows);
    add(decisions_topic, &peer_questions::serve_decisions);
    add(liveness_topic, &peer_questions::serve_liveness);
}

std::vector<peer_question>
peer_questions::question_all(std::string const& body) const
{
    std::vector<peer_question> questions;
    auto const view = parts_.routes.get();
    for (auto const& session : view->sessions)
    {
        if (!session.fenced && session.id != parts_.self)
            questions.push_back({session.node, session.peer_address, body});
    }
    return questions;
}

result_table
peer_questions::own_rows(table_kind kind, program_owner& owner) const
{
    if (kind == table_kind::links)
    {
        return link_rows(
            parts_.node, parts_.hub.bytes_sent(), parts_.hub.bytes_received());
    }
    auto const programs =
        owner.statuses(max_listed_programs, monotonic_clock()());
    if (kind == table_kind::holds)
        return hold_rows(programs);
    return program_rows(parts_.node, programs);
}

result_table
peer_questions::rows(table_kind kind, std::vector<node_answer>& nodes)
{
    auto all = parts_.owner.ask([this, kind](program_owner& owner)
                                { return own_rows(kind, owner); });
    nodes.push_back({parts_.node, true, duration(0)});
    auto const body = to_bytes(static_cast<int>(kind));
    for (auto const& answer :
         ask_peers(parts_.hub, rows_topic, question_all(body)))
    {
        auto table = answer.body ? decode_table(answer.body.value()) : silent();
        nodes.push_back({answer.node, bool(table), duration(0)});
        if (!table)
            continue;
        for (auto& row : table.value().rows)
            all.rows.push_back(std::move(row));
    }
    return all;
}

void peer_questions::serve_rows(
    std::string_view body, peer_responder const& responder)
{
    auto const asked = from_bytes(body);
    if (!asked.is_number_integer())
        return responder.reply({});
    auto const kind = static_cast<table_kind>(asked.get<int>());
    parts_.owner.post(
        [this, kind, responder](program_owner& owner, time_point)
        { responder.reply(encode_table(own_rows(kind, owner))); });
}

std::vector<decision_entry> peer_questions::decisions(
    program_id const& program, std::vector<node_answer>& nodes)
{
    auto all = parts_.decisions.of(program);
    nodes.push_back({parts_.node, true, duration(0)});
    auto const body = to_bytes(program.str());
    for (auto const& answer :
         ask_peers(parts_.hub, decisions_topic, question_all(body)))
    {
        nodes.push_back({answer.node, bool(answer.body), duration(0)});
        if (!answer.body)
            continue;
        auto const lines = from_bytes(answer.body.value());
        for (auto const& line : lines.is_array() ? lines : json::array())
        {
            auto entry = decision_entry_from(line.get<std::string>());
            if (entry)
                all.push_back(std::move(entry.value()));
        }
    }
    return all;
}

void peer_questions::serve_decisions(
    std::string_view body, peer_responder const& responder)
{
    auto const asked = from_bytes(body);
    auto lines = json::array();
    if (asked.is_string())
    {
        auto const program = program_id(asked.get<std::string>());
        for (auto const& entry : parts_.decisions.of(program))
            lines.push_back(to_json_line(entry));
    }
    responder.reply(to_bytes(lines));
}

std::vector<program_liveness> peer_questions::own_liveness(
    program_owner& owner, std::vector<program_id> const& programs) const
{
    std::vector<program_liveness> answers;
    for (auto const& program : programs)
    {
        auto const shard = shard_of(root_of(program), parts_.shards);
        if (!owner.owns(shard))
            answers.push_back(program_liveness::unknown);
        else
            answers.push_back(
                owner.live(program) ? program_liveness::live
                                    : program_liveness::ended);
    }
    return answers;
}

void peer_questions::serve_liveness(
    std::string_view body, peer_responder const& responder)
{
    auto const asked = from_bytes(body);
    std::vector<program_id> programs;
    for (auto const& id : asked.is_array() ? asked : json::array())
        programs.emplace_back(id.is_string() ? id.get<std::string>() : "");
    parts_.owner.post(
        [this, programs, responder](program_owner& owner, time_point)
        {
            auto list = json::array();
            for (auto one : own_liveness(owner, programs))
                list.push_back(static_cast<int>(one));
            responder.reply(to_bytes(list));
        });
}

std::vector<program_liveness>
peer_questions::liveness(std::vector<program_id> const& programs)
{
    std::vector<program_liveness> answers(
        programs.size(), program_liveness::unknown);
    auto const view = parts_.routes.get();
    std::map<session_id, std::vector<std::size_t>> by_owner;
    for (std::size_t i = 0; i < programs.size(); ++i)
    {
        auto const shard = shard_of(root_of(programs[i]), parts_.shards);
        if (auto const* owner = view->owner_of(shard))
            by_owner[owner->id].push_back(i);
    }
    std::vector<peer_question> questions;
    std::vector<std::vector<std::size_t>> asked;
    for (auto const& entry : by_owner)
    {
        std::vector<program_id> ids;
        auto list = json::array();
        for (auto i : entry.second)
        {
            ids.push_back(programs[i]);
            list.push_back(programs[i].str());
        }
        if (entry.first == parts_.self)
        {
            auto const own = parts_.owner.ask(
                [&](program_owner& owner) { return own_liveness(owner, ids); });
            for (std::size_t k = 0; k < own.size(); ++k)
                answers[entry.second[k]] = own[k];
            continue;
        }
        auto const* session = view->find_session(entry.first);
        questions.push_back(
            {session->node, session->peer_address, to_bytes(list)});
        asked.push_back(entry.second);
    }
    auto const replies = ask_peers(parts_.hub, liveness_topic, questions);
    for (std::size_t q = 0; q < replies.size(); ++q)
    {
        if (!replies[q].body)
            continue;
        auto const list = from_bytes(replies[q].body.value());
        for (std::size_t k = 0; k < asked[q].size() && k < list.size(); ++k)
            answers[asked[q][k]] =
                static_cast<program_liveness>(list[k].get<int>());
    }
    return answers;
}

} // namespace walnutmill
