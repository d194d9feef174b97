/// \file
/// Callers of a soak that keep their connections for many requests and use them
/// until the process behind them is gone. They retry as the users' clients do.

#include "soak_world.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <system_error>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using testing::attempt_end;
using testing::call_kind;
using testing::recorded_attempt;
using clock = std::chrono::steady_clock;

constexpr milliseconds deadline{3'000};
/// After the deadline, until a caller takes its connection for silent.
constexpr milliseconds silence_margin{1'000};
/// A caller sees a close no sooner than this.
constexpr milliseconds round_trip{5};
constexpr milliseconds least_time_for_a_retry{300};
constexpr int tries_of_a_call = 4;
constexpr int least_retry_pause_ms = 5;
constexpr int most_retry_pause_ms = 50;
/// In which a caller that waits looks whether the soak has ended.
constexpr milliseconds wait_step{20};
constexpr milliseconds longest_idle_time{3'000};
constexpr int most_short_pause_ms = 60;
constexpr int longest_body = 60'000;

constexpr int status_ok = 200;
/// Answers after which a request is never sent again.
constexpr int final_answers[] = {200, 400, 401, 402, 404, 413, 431};
/// Answers that promise that the call did not run and never will.
constexpr int promises_not_run[] = {408, 421, 429, 503};

template<std::size_t Size>
bool is_among(int const (&list)[Size], int status)
{
    return std::find(std::begin(list), std::end(list), status) !=
           std::end(list);
}

std::int64_t unix_ms(std::chrono::system_clock::time_point when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch())
        .count();
}

/// \return true if a client may send the request again
bool may_retry(recorded_attempt const& one)
{
    auto const repeatable =
        one.kind == call_kind::lookup || one.kind == call_kind::turn;
    switch (one.end)
    {
    case attempt_end::answered:
        return !is_among(final_answers, one.status) &&
               (repeatable || is_among(promises_not_run, one.status));
    case attempt_end::left:
        return false;
    case attempt_end::not_connected:
    case attempt_end::not_sent:
    case attempt_end::crossed_close:
        return true;
    default:
        return repeatable;
    }
}

std::string request_text(
    std::string const& path, std::string const& id, milliseconds time_left,
    std::string const& body)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(time_left.count()) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace

std::int64_t soak_world::now_ms()
{
    return unix_ms(std::chrono::system_clock::now());
}

/// Sends a request on a kept connection, or on a new one where the node has
/// closed it, and records how it ended.
std::map<std::string, std::string> soak_world::exchange(
    std::unique_ptr<soak_connection>& connection, int node,
    std::string const& request, milliseconds patience, bool leaves,
    recorded_attempt& to)
{
    auto const& at = *processes_[static_cast<std::size_t>(node)];
    to.node = at.name;
    // A caller that sends at once behind an answer can't know of a close.
    if (connection && connection->idle_time() >= round_trip &&
        connection->closed())
    {
        count("connection closed while it was idle");
        connection.reset();
    }
    auto const is_kept = connection != nullptr;
    exchange_result got;
    got.end = attempt_end::not_connected;
    auto const began_at = std::chrono::system_clock::now();
    auto const began = clock::now();
    to.began_ms = unix_ms(began_at);
    try
    {
        if (!connection)
        {
            connection = std::make_unique<soak_connection>(at.callers.text());
        }
        got = connection->call(request, patience, leaves);
    }
    catch (std::system_error const&)
    {
        // Recorded as not connected.
    }
    if (got.ended_at == clock::time_point())
        got.ended_at = clock::now();
    // Rounded once: a sum of two rounded times may lie before the fault that
    // ended the attempt.
    to.ended_ms = unix_ms(
        began_at +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            got.ended_at - began));
    to.end = got.end;
    to.status = got.status;
    to.whole = got.whole;
    to.body = got.body;
    if (to.end != attempt_end::answered ||
        (connection && connection->announced_close()))
        connection.reset();
    count(
        std::string(is_kept ? "kept" : "new") +
        " connection: " + name_of(to.end));
    std::lock_guard<std::mutex> const lock(mutex_);
    history_.attempts.push_back(to);
    return std::move(got.headers);
}

/// A caller of harmless requests, until the last node is gone.
void soak_world::keep_calling(int number)
{
    kept_caller one(options_.seed, number);
    one.node = one.chances.between(0, options_.nodes - 1);
    while (kept_calling_)
    {
        call_until_served(one);
        await_next_call(one);
    }
}

recorded_attempt soak_world::draw_harmless_call(kept_caller& one, int& path)
{
    recorded_attempt to;
    to.program = "kept";
    to.budget = UINT64_MAX / 2;
    to.targets_only_pause = true;
    constexpr call_kind kinds[] = {
        call_kind::lookup, call_kind::order, call_kind::turn,
        call_kind::lookup};
    path = one.chances.between(0, 3);
    to.kind = kinds[path];
    // Programs send alike requests, some of them often and most only once.
    constexpr int common_contents = 5;
    to.input = "harmless ";
    to.input += one.chances.chance(0.5)
                    ? std::to_string(one.chances.between(1, common_contents))
                    : std::to_string(++last_id_);
    if (one.chances.chance(0.1))
    {
        to.input.append(
            static_cast<std::size_t>(one.chances.between(1, longest_body)),
            'x');
    }
    return to;
}

void soak_world::call_until_served(kept_caller& one)
{
    constexpr char const* paths[] = {
        "/pausing/x", "/pausing-orders/x", "/pausing-turns/x", "/coming/x"};
    int path = 0;
    auto call = draw_harmless_call(one, path);
    auto const end = clock::now() + deadline;
    for (int i = 0; i < tries_of_a_call; ++i)
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(end - clock::now());
        if (left < least_time_for_a_retry)
            break;
        call.id = "r" + std::to_string(++last_id_);
        auto const headers = exchange(
            one.connection, one.node,
            request_text(paths[path], call.id, left, call.input),
            left + silence_margin, false, call);
        if (call.end == attempt_end::answered && call.status != status_ok)
        {
            count(
                "harmless request answered " + std::to_string(call.status) +
                ": " + call.body);
        }
        if (!may_retry(call))
            break;
        // Retries go to other nodes, on new connections.
        one.connection.reset();
        one.node = one.chances.between(0, options_.nodes - 1);
        auto pause = milliseconds(
            one.chances.between(least_retry_pause_ms, most_retry_pause_ms));
        auto const stated = headers.find("Retry-After");
        if (stated != headers.end())
        {
            constexpr double ms_per_s = 1'000;
            pause = std::min(
                milliseconds(static_cast<std::int64_t>(
                    std::strtod(stated->second.c_str(), nullptr) * ms_per_s)),
                left / 3);
        }
        std::this_thread::sleep_for(pause);
    }
    auto const served = call.status == status_ok && call.whole;
    count(
        served ? "harmless call served"
               : "harmless call given up: " + name_of(call.end) + " " +
                     std::to_string(call.status));
}

/// Some callers send again at once, others after up to four fifths of the idle
/// timeout.
void soak_world::await_next_call(kept_caller& one)
{
    constexpr double at_once = 0.5;
    constexpr double soon = 0.6;
    if (one.chances.chance(at_once))
        return;
    if (one.chances.chance(soon))
    {
        std::this_thread::sleep_for(
            milliseconds(one.chances.between(1, most_short_pause_ms)));
        return;
    }
    auto const longest = std::min(
        longest_idle_time, milliseconds(idle_timeout_ms_.load()) * 4 / 5);
    auto const end =
        clock::now() +
        milliseconds(one.chances.between(0, static_cast<int>(longest.count())));
    while (kept_calling_ && clock::now() < end)
    {
        std::this_thread::sleep_for(std::min<clock::duration>(
            wait_step, std::max(end - clock::now(), clock::duration(0))));
    }
}

} // namespace soak
} // namespace walnutmill
