/// \file
/// What a node spends on the requests under which engines ended: on each call
/// that is answered, on a crash that it reports or receives, and in memory.

#include "slopes-allocations.hpp"
#include "slopes-sections.hpp"

#include "entry/crash_exchange.hpp"

#include <chrono>
#include <cinttypes>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace walnutmill
{
namespace slopes
{
namespace
{

constexpr std::size_t measured_calls = 20'000;
constexpr std::size_t measured_crashes = 4'000;

double us_each(std::chrono::steady_clock::time_point began, std::size_t count)
{
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - began)
               .count() /
           static_cast<double>(count);
}

/// An exchange whose datagrams are collected.
struct measured_exchange
{
    manual_clock clock;
    std::vector<std::string> sent;
    crash_exchange exchange;

    explicit measured_exchange(std::size_t nodes)
        : exchange(clock.fn(), seeded_random(1), hooks())
    {
        std::vector<entry_member> others(nodes - 1);
        for (std::size_t i = 0; i < others.size(); ++i)
            others[i].address = "10.20.1.100:" + std::to_string(20'000 + i);
        exchange.set_nodes(others);
        sent.clear();
    }

    crash_exchange::hooks hooks()
    {
        crash_exchange::hooks to;
        to.send = [this](std::string const&, std::string bytes)
        { sent.push_back(std::move(bytes)); };
        to.schedule_after = [](duration, std::function<void()> const&) {};
        return to;
    }

    void crash(std::size_t number)
    {
        exchange.run_interrupted(
            {number,
             {"archive", "program-1234567", "turns", "9c41d07be2a35f68"},
             number,
             {target_name("i-7f3a91c2"), engine_incarnation{1'700'000'000'000}},
             clock.now()});
        clock.advance(std::chrono::milliseconds(10));
    }
};

void measure_digest(std::size_t body_bytes)
{
    call request;
    request.host = "ficu95.example";
    request.method = "POST";
    request.target = "/lohu930/2f";
    request.owner = workspace_name("archive");
    request.prompt = {{"5c1e07a2", 800}, {"91bd3f06", 410}, {"e4402b7d", 250}};
    std::string const body(body_bytes, 'x');
    measured_exchange one(2);
    auto const began = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_calls; ++i)
        one.exchange.run_answered(digest_of(request, body));
    std::printf(
        "digest and memory of an answered call of %zu bytes: %.2f us\n",
        body_bytes, us_each(began, measured_calls));
}

void measure_crashes(std::size_t nodes)
{
    measured_exchange from(nodes);
    auto const began = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_crashes; ++i)
        from.crash(i);
    auto const report_us = us_each(began, measured_crashes);
    std::size_t bytes = 0;
    for (auto const& each : from.sent)
        bytes += each.size();
    auto const message_bytes = bytes / from.sent.size();
    std::vector<std::string> received;
    for (std::size_t i = 0; i < from.sent.size(); i += nodes - 1)
        received.push_back(from.sent[i]);
    measured_exchange to(nodes);
    auto const before = allocations_so_far().live_bytes;
    auto const receiving = std::chrono::steady_clock::now();
    for (auto const& each : received)
        to.exchange.handle(
            each, "10.20.1.100:20000", [](std::string const&) {});
    std::printf(
        "%zu nodes: %.1f us a crash with its messages, %.1f us a crash "
        "received, %zu bytes a message, %" PRId64
        " bytes of memory a request\n",
        nodes, report_us, us_each(receiving, received.size()), message_bytes,
        (allocations_so_far().live_bytes - before) /
            static_cast<std::int64_t>(received.size()));
}

} // namespace

void run_crashes_section()
{
    std::printf("\nrequests under which engines ended\n");
    constexpr std::size_t prompt_bytes = 17'000;
    constexpr std::size_t large_bytes = 100'000;
    for (auto const bytes : {std::size_t(0), prompt_bytes, large_bytes})
        measure_digest(bytes);
    constexpr std::size_t today = 13;
    constexpr std::size_t grown = 85;
    constexpr std::size_t two_years = 390;
    for (auto const nodes : {today, grown, two_years})
        measure_crashes(nodes);
}

} // namespace slopes
} // namespace walnutmill
