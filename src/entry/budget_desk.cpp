#include "entry/budget_desk.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view admit_path = "/budget/admit";
constexpr std::string_view settle_path = "/budget/settle";

/// A home answers from memory in 2 to 4 ms; with a write of its own first in
/// 10 to 15, on a slow store in some 300. Waiting longer than this costs a
/// turn more than asking the store itself.
constexpr milliseconds admission_patience{150};
constexpr milliseconds settlement_patience{500};
/// Tries to tell a home what a turn spent; untold it counts as its most.
constexpr int settlement_tries = 4;
/// A turn of another node that was not settled by then is taken for spent:
/// longer than any route lets a turn last.
constexpr std::chrono::seconds open_at_most{40};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

std::string
http_post(std::string_view path, std::string const& address, json const& body)
{
    auto const bytes = json::to_cbor(body);
    std::string out = "POST ";
    out.append(path).append(" HTTP/1.1\r\nHost: ").append(address);
    out.append("\r\nContent-Type: application/cbor\r\nContent-Length: ");
    out.append(std::to_string(bytes.size())).append("\r\n\r\n");
    out.append(bytes.begin(), bytes.end());
    return out;
}

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

} // namespace

budget_desk::budget_desk(
    boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
    std::string self, std::string incarnation)
    : ledger_(ledger), clock_(std::move(clock)), caller_(io),
      homes_(std::move(self)), incarnation_(std::move(incarnation))
{
}

void budget_desk::set_nodes(std::vector<home_candidate> others)
{
    homes_.set_nodes(std::move(others));
}

void budget_desk::admit_here(wish const& one, answer_fn answer)
{
    if (one.only_begun && !ledger_.knows(one.program))
    {
        answer(admission_answer::not_begun, {});
        return;
    }
    ledger_.admit(
        one.program, one.budget, one.most_tokens,
        [one, answer = std::move(answer)](admission_answer what) {
            answer(what, {one.program, one.most_tokens, {}, {}, {}});
        });
}

void budget_desk::admit(wish const& one, answer_fn const& answer)
{
    auto const* home = homes_.home_of(one.program, clock_());
    if (home == nullptr)
    {
        admit_here(one, answer);
        return;
    }
    grant const wanted{
        one.program, one.most_tokens,
        incarnation_ + "/" + std::to_string(++last_turn_), home->node,
        home->address};
    caller_.call(
        home->address,
        http_post(
            admit_path, home->address,
            {{"program", one.program.str()},
             {"budget", one.budget},
             {"most", one.most_tokens},
             {"only_begun", one.only_begun},
             {"turn", wanted.turn}}),
        admission_patience,
        [this, one, wanted, answer](http_reply const& reply)
        {
            auto const body = reply.answered && reply.status == status_ok
                                  ? json::from_cbor(reply.body, true, false)
                                  : json();
            if (body.is_object())
            {
                homes_.answered(wanted.home);
                answer(answer_of(body.value("answer", std::string())), wanted);
                return;
            }
            homes_.did_not_answer(wanted.home, clock_());
            // It may have admitted the turn all the same.
            if (reply.sent)
                send_settlement(wanted, 0, 1);
            admit_here(one, answer);
        });
}

void budget_desk::settle(grant const& one, std::uint64_t handed_out)
{
    if (one.home.empty())
        ledger_.settle(one.program, one.most_tokens, handed_out);
    else
        send_settlement(one, handed_out, settlement_tries);
}

void budget_desk::send_settlement(
    grant const& one, std::uint64_t handed_out, int tries)
{
    caller_.call(
        one.home_address,
        http_post(
            settle_path, one.home_address,
            {{"turn", one.turn}, {"used", handed_out}}),
        settlement_patience,
        [this, one, handed_out, tries](http_reply const& reply)
        {
            // Told twice, a home finds the turn settled already.
            if (!reply.answered && tries > 1)
                send_settlement(one, handed_out, tries - 1);
        });
}

bool budget_desk::is_home_of(std::string const& key) const
{
    return homes_.home_of(program_id(key), clock_()) == nullptr;
}

bool budget_desk::is_request(std::string_view target)
{
    return target == admit_path || target == settle_path;
}

void budget_desk::serve(
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

void budget_desk::serve_admission(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const asked = json::from_cbor(body, true, false);
    if (!asked.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    wish one;
    one.program = program_id(asked.value("program", std::string()));
    one.budget = asked.value("budget", std::uint64_t{0});
    one.most_tokens = asked.value("most", std::uint64_t{0});
    one.only_begun = asked.value("only_begun", false);
    auto const turn = asked.value("turn", std::string());
    admit_here(
        one,
        [this, alive = alive_, one, turn,
         reply](admission_answer what, grant const&)
        {
            if (*alive && what == admission_answer::admitted)
            {
                open_[turn] = {
                    one.program, one.most_tokens, clock_() + open_at_most};
            }
            auto const bytes = json::to_cbor(json{{"answer", to_string(what)}});
            reply(status_ok, std::string(bytes.begin(), bytes.end()));
        });
}

void budget_desk::serve_settlement(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const told = json::from_cbor(body, true, false);
    if (!told.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    auto const found = open_.find(told.value("turn", std::string()));
    if (found != open_.end())
    {
        auto const one = found->second;
        open_.erase(found);
        ledger_.settle(
            one.program, one.most_tokens, told.value("used", one.most_tokens));
    }
    reply(status_ok, {});
}

void budget_desk::tick()
{
    auto const now = clock_();
    for (auto it = open_.begin(); it != open_.end();)
    {
        auto const& one = it->second;
        if (one.until > now)
        {
            ++it;
            continue;
        }
        ledger_.settle(one.program, one.most_tokens, one.most_tokens);
        it = open_.erase(it);
    }
}

} // namespace walnutmill
