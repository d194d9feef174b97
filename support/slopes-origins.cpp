/// \file
/// What a node spends on the origins of streams while several software versions
/// of a service count: on a stream that begins, on a copy that arrives, and in
/// memory.

#include "slopes-allocations.hpp"
#include "slopes-sections.hpp"

#include "entry/origin_exchange.hpp"

#include <chrono>
#include <cstddef>
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

constexpr std::size_t measured_streams = 12'000;
constexpr std::size_t copies_a_stream = 3;
constexpr std::size_t domains = 14;

std::vector<entry_member> members(std::size_t others)
{
    std::vector<entry_member> all(others);
    for (std::size_t i = 0; i < others; ++i)
    {
        all[i].node = "entry-" + std::to_string(i);
        all[i].address = "10.20.1.100:" + std::to_string(20'000 + i);
        all[i].domain = "domain-" + std::to_string(i % domains);
    }
    return all;
}

/// \return an id of the length that callers send, qualified by its workspace
std::string stream_id(std::size_t number)
{
    constexpr std::size_t first_id = 1'000'000'000'000'000;
    return "9:workspace:" + std::to_string(first_id + number);
}

double us_each(std::chrono::steady_clock::time_point began, std::size_t count)
{
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - began)
               .count() /
           static_cast<double>(count);
}

void measure(std::size_t nodes)
{
    manual_clock clock;
    std::vector<std::string> sent;
    sent.reserve(copies_a_stream * measured_streams);
    origin_exchange::hooks hooks;
    hooks.send = [&sent](std::string const&, std::string bytes)
    { sent.push_back(std::move(bytes)); };
    hooks.schedule_after = [](duration, std::function<void()> const&) {};
    stream_origin const origin{service_name("quote-agents"), "v1.2"};

    origin_exchange sender(clock.fn(), "self", "domain-0", hooks);
    sender.set_nodes(members(nodes - 1));
    auto began = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_streams; ++i)
    {
        auto const stream = stream_key_of(stream_id(i));
        sender.record(stream, origin);
        sender.copy(stream, origin);
    }
    auto const us_a_stream = us_each(began, measured_streams);

    origin_exchange receiver(clock.fn(), "self", "domain-0", hooks);
    auto const empty = allocations_so_far().live_bytes;
    began = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_streams; ++i)
    {
        receiver.handle(
            sent.at(copies_a_stream * i), [](std::string const&) {});
    }
    auto const us_a_copy = us_each(began, measured_streams);
    auto const bytes_a_stream =
        static_cast<double>(allocations_so_far().live_bytes - empty) /
        static_cast<double>(receiver.size());
    std::printf(
        "| %zu | %.1f | %.1f | %zu | %.0f |\n", nodes, us_a_stream, us_a_copy,
        sent.front().size(), bytes_a_stream);
}

} // namespace

void run_origins_section()
{
    std::printf(
        "\n| nodes | us a stream, with its copies | us a copy received | bytes "
        "a copy | bytes of memory a stream |\n| --- | --- | --- | --- | --- "
        "|\n");
    for (std::size_t const nodes : {13, 85, 390})
        measure(nodes);
}

} // namespace slopes
} // namespace walnutmill
