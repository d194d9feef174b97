#include "entry/budget_service.hpp"

#include "cbor.hpp"
#include "entry/partitions.hpp"

#include <nlohmann/json.hpp>

#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view admit_path = "/budget/admit";
constexpr std::string_view settle_path = "/budget/settle";

constexpr milliseconds settlement_timeout{500};
/// Number of admission requests sent to a coordinator that replies "pending".
/// At one reply per 100 ms this exceeds the ledger's store timeout (2.5 s).
constexpr int max_admission_requests = 30;
constexpr std::string_view pending_answer = "pending";
/// Attempts to report to a coordinator what a turn spent. An unreported turn
/// counts as its maximum.
constexpr int max_settlement_attempts = 4;
/// Time after which the maximum of another node's unsettled turn counts as
/// spent. It is longer than any route's limit on the duration of a turn.
constexpr std::chrono::seconds max_turn_duration{40};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

admission_answer answer_of(std::string const& text)
{
    for (auto const one :
         {admission_answer::admitted, admission_answer::exhausted,
          admission_answer::contended, admission_answer::not_begun})
    {
        if (text == to_string(one))
            return one;
    }
    return admission_answer::store_unavailable;
}

coordinator_options coordinator_options_of(double own_capacity_weight)
{
    coordinator_options to;
    to.own_capacity_weight = own_capacity_weight;
    return to;
}

json to_json(prefix_cache_location const& one)
{
    json to{
        {"part", one.part},
        {"tokens", one.tokens},
        {"engine", one.engine.id.str()}};
    if (one.engine.incarnation)
        to["started_at_ms"] = one.engine.incarnation->started_at_ms;
    return to;
}

/// \return empty if the JSON has another format, as sent by another version of
/// walnutmill.
std::optional<prefix_cache_location> cache_location_of(json const& from)
{
    auto const has = [&from](char const* field, json::value_t type)
    { return from.contains(field) && from[field].type() == type; };
    if (!from.is_object() || !has("part", json::value_t::string) ||
        !has("engine", json::value_t::string) ||
        !has("tokens", json::value_t::number_unsigned))
        return std::nullopt;
    engine_ref engine(target_name(from["engine"].get<std::string>()));
    if (from.contains("started_at_ms") &&
        from["started_at_ms"].is_number_integer())
    {
        engine.incarnation =
            engine_incarnation{from["started_at_ms"].get<std::int64_t>()};
    }
    return prefix_cache_location{
        from["part"].get<std::string>(), from["tokens"].get<std::uint32_t>(),
        std::move(engine)};
}

std::vector<prefix_cache_location> cache_locations_of(json const& body)
{
    std::vector<prefix_cache_location> to;
    auto const cache_locations = body.find("places");
    if (cache_locations == body.end())
        return to;
    for (auto const& one : *cache_locations)
    {
        if (auto place = cache_location_of(one))
            to.push_back(std::move(*place));
    }
    return to;
}

} // namespace

budget_service::budget_service(
    boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
    std::string self, std::string incarnation, budget_service_options options,
    double own_capacity_weight)
    : io_(io), ledger_(ledger), clock_(std::move(clock)), caller_(io),
      coordinators_(
          std::move(self), coordinator_options_of(own_capacity_weight)),
      cache_locations_(clock_), incarnation_(std::move(incarnation)),
      options_(options)
{
}

void budget_service::set_nodes(std::vector<coordinator_candidate> others)
{
    coordinators_.set_nodes(std::move(others));
}

void budget_service::admit_locally(
    admission_request const& request, account_role role, answer_fn answer)
{
    if (request.only_begun && !ledger_.is_tracking(request.program))
    {
        answer(admission_answer::not_begun, {});
        return;
    }
    ledger_.admit(
        request.program,
        {request.budget, request.most_tokens, request.needs_store,
         request.is_kept, role},
        [this, alive = alive_, request,
         answer = std::move(answer)](admission_answer what)
        {
            auto cache_locations =
                *alive ? cache_locations_.locations_of(request.program)
                       : std::vector<prefix_cache_location>();
            answer(
                what, {request.program,
                       request.most_tokens,
                       {},
                       {},
                       {},
                       std::move(cache_locations)});
        });
}

void budget_service::admit(
    admission_request const& request, answer_fn const& answer)
{
    auto const* coordinator = coordinators_.coordinator_of(
        partition_of(request.program.str()), clock_());
    if (coordinator == nullptr)
    {
        admit_locally(
            request,
            coordinators_.knows_nodes() ? account_role::coordinator
                                        : account_role::unknown,
            answer);
        return;
    }
    grant const requested{
        request.program,
        request.most_tokens,
        incarnation_ + "/" + std::to_string(++last_turn_),
        coordinator->node,
        coordinator->address,
        {}};
    request_from_coordinator(
        request, requested, max_admission_requests, answer);
}

void budget_service::request_from_coordinator(
    admission_request const& request, grant const& requested, int requests_left,
    answer_fn const& answer)
{
    caller_.call(
        {requested.coordinator_address,
         cbor_request(
             admit_path, requested.coordinator_address,
             {{"program", request.program.str()},
              {"budget", request.budget},
              {"most", request.most_tokens},
              {"only_begun", request.only_begun},
              {"needs_store", request.needs_store},
              {"kept", request.is_kept},
              {"turn", requested.turn}}),
         small_exchange(options_.admission_timeout)},
        [this, request, requested, requests_left,
         answer](exchange_reply const& reply)
        {
            auto const body = reply.answered && reply.status == status_ok
                                  ? decode_cbor(reply.body)
                                  : json();
            auto const answer_text = body.is_object()
                                         ? body.value("answer", std::string())
                                         : std::string();
            if (answer_text == pending_answer && requests_left > 1)
            {
                request_from_coordinator(
                    request, requested, requests_left - 1, answer);
                return;
            }
            if (body.is_object() && answer_text != pending_answer)
            {
                coordinators_.answered(requested.coordinator);
                auto granted = requested;
                granted.cache_locations = cache_locations_of(body);
                answer(answer_of(answer_text), std::move(granted));
                return;
            }
            coordinators_.mark_unresponsive(requested.coordinator, clock_());
            // The coordinator may have admitted the turn nevertheless.
            if (reply.sent)
                send_settlement(requested, 0, std::nullopt, 1);
            admit_locally(request, account_role::fallback, answer);
        });
}

void budget_service::settle(
    grant const& granted, std::uint64_t delivered_tokens,
    std::optional<prefix_cache_location> const& location)
{
    if (!granted.coordinator.empty())
    {
        send_settlement(
            granted, delivered_tokens, location, max_settlement_attempts);
        return;
    }
    if (location)
        cache_locations_.record_location(granted.program, *location);
    ledger_.settle(granted.program, granted.most_tokens, delivered_tokens);
}

void budget_service::send_settlement(
    grant const& granted, std::uint64_t delivered_tokens,
    std::optional<prefix_cache_location> const& location, int attempts_left)
{
    json settlement{{"turn", granted.turn}, {"used", delivered_tokens}};
    if (location)
        settlement["left"] = to_json(*location);
    caller_.call(
        {granted.coordinator_address,
         cbor_request(settle_path, granted.coordinator_address, settlement),
         small_exchange(settlement_timeout)},
        [this, granted, delivered_tokens, location,
         attempts_left](exchange_reply const& reply)
        {
            // The coordinator ignores a repeated settlement.
            if (!reply.answered && attempts_left > 1)
                send_settlement(
                    granted, delivered_tokens, location, attempts_left - 1);
        });
}

bool budget_service::is_coordinator_of(std::string const& key) const
{
    return coordinators_.coordinator_of(key, clock_()) == nullptr;
}

bool budget_service::is_request(std::string_view target)
{
    return target == admit_path || target == settle_path;
}

void budget_service::serve(
    std::string_view target, std::string_view body,
    std::function<void(int, std::string)> const& reply)
{
    if (target == admit_path)
        serve_admission(body, reply);
    else if (target == settle_path)
        serve_settlement(body, reply);
    else
        reply(status_not_found, {});
}

void budget_service::serve_admission(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const message = decode_cbor(body);
    if (!message.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    admission_request request;
    request.program = program_id(message.value("program", std::string()));
    request.budget = message.value("budget", std::uint64_t{0});
    request.most_tokens = message.value("most", std::uint64_t{0});
    request.only_begun = message.value("only_begun", false);
    request.needs_store = message.value("needs_store", false);
    request.is_kept = message.value("kept", false);
    auto const turn = message.value("turn", std::string());
    // A repeated request waits for the admission that is already in progress.
    auto const in_progress = pending_.count(turn) > 0;
    await_decision(turn, request.program, reply);
    if (in_progress)
        return;
    admit_locally(
        request, account_role::coordinator,
        [this, alive = alive_, request,
         turn](admission_answer what, grant const&)
        {
            if (*alive)
                on_decided(request, turn, what);
        });
}

/// Replies when the admission is decided, or that it is pending.
void budget_service::await_decision(
    std::string const& turn, program_id const& program, reply_fn reply)
{
    auto& pending = pending_[turn];
    pending.program = program;
    pending.reply = std::move(reply);
    pending.expires_at = clock_() + max_turn_duration;
    if (pending.answer)
    {
        reply_to_pending(turn);
        return;
    }
    pending.pending_timer = std::make_shared<boost::asio::steady_timer>(io_);
    pending.pending_timer->expires_after(options_.pending_reply_delay);
    pending.pending_timer->async_wait(
        [this, alive = alive_, turn](boost::system::error_code const& error)
        {
            if (!error && *alive)
                reply_to_pending(turn);
        });
}

void budget_service::on_decided(
    admission_request const& request, std::string const& turn,
    admission_answer what)
{
    auto const pending = pending_.find(turn);
    auto const withdrawn =
        pending != pending_.end() && pending->second.withdrawn;
    if (withdrawn && what == admission_answer::admitted)
        ledger_.settle(request.program, request.most_tokens, 0);
    if (withdrawn)
    {
        pending_.erase(pending);
        return;
    }
    if (what == admission_answer::admitted)
        remote_turns_[turn] = {
            request.program, request.most_tokens, clock_() + max_turn_duration};
    pending_[turn].answer = what;
    reply_to_pending(turn);
}

void budget_service::reply_to_pending(std::string const& turn)
{
    auto const found = pending_.find(turn);
    if (found == pending_.end() || !found->second.reply)
        return;
    auto const answer = found->second.answer;
    auto const program = found->second.program;
    auto const reply = std::move(found->second.reply);
    found->second.reply = {};
    if (found->second.pending_timer)
        found->second.pending_timer->cancel();
    if (answer)
        pending_.erase(found);
    json body{{"answer", answer ? to_string(*answer) : pending_answer}};
    if (answer == admission_answer::admitted)
    {
        for (auto const& location : cache_locations_.locations_of(program))
            body["places"].push_back(to_json(location));
    }
    auto const bytes = json::to_cbor(body);
    reply(status_ok, std::string(bytes.begin(), bytes.end()));
}

void budget_service::serve_settlement(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const settlement = decode_cbor(body);
    if (!settlement.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    auto const turn = settlement.value("turn", std::string());
    auto const pending = pending_.find(turn);
    if (pending != pending_.end() && !pending->second.answer)
        pending->second.withdrawn = true;
    auto const found = remote_turns_.find(turn);
    if (found != remote_turns_.end())
    {
        auto const ended = found->second;
        remote_turns_.erase(found);
        if (auto location = cache_location_of(settlement.value("left", json())))
            cache_locations_.record_location(
                ended.program, std::move(*location));
        ledger_.settle(
            ended.program, ended.most_tokens,
            settlement.value("used", ended.most_tokens));
    }
    reply(status_ok, {});
}

void budget_service::tick()
{
    auto const now = clock_();
    for (auto it = remote_turns_.begin(); it != remote_turns_.end();)
    {
        auto const& one = it->second;
        if (one.expires_at > now)
        {
            ++it;
            continue;
        }
        ledger_.settle(one.program, one.most_tokens, one.most_tokens);
        it = remote_turns_.erase(it);
    }
    cache_locations_.sweep();
    for (auto it = pending_.begin(); it != pending_.end();)
        it = it->second.expires_at > now ? std::next(it) : pending_.erase(it);
}

} // namespace walnutmill
