/// \file
/// Targets that fall silent for a second and go on, alone, with their rack or
/// with a third of all targets, and changes of the configuration beside them.

#include "soak_world.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using testing::http_request;
using testing::link_ptr;
using testing::standin_target;

constexpr int least_silence_ms = 700;
constexpr int most_silence_ms = 1'200;
constexpr int least_gap_ms = 100;
constexpr int most_gap_ms = 500;
constexpr int most_in_series = 3;
constexpr std::size_t racks = 3;
constexpr std::size_t pausing_targets = 4;
constexpr milliseconds plain_run{4};
constexpr milliseconds between_events{60};
constexpr int status_ok = 200;
/// Indices of routes in the base configuration.
constexpr std::size_t turns_route = 0;
constexpr std::size_t safe_route = 2;
constexpr std::size_t orders_route = 3;

} // namespace

/// Two services whose targets pause and do no other harm.
void soak_world::add_pausing_services(nlohmann::json& document)
{
    auto const add_route =
        [&document](std::size_t like, std::string const& name)
    {
        auto route = document["routes"][like];
        route["name"] = name;
        route["prefix"] = "/" + name + "/";
        route.erase("service");
        route["split"] = {
            {{"service", "pausing-a"}, {"weight", 1}},
            {{"service", "pausing-b"}, {"weight", 1}}};
        document["routes"].push_back(std::move(route));
    };
    add_route(safe_route, "pausing");
    add_route(orders_route, "pausing-orders");
    add_route(turns_route, "pausing-turns");
    add_route(safe_route, "coming");
    for (auto const* name : {"pausing-a", "pausing-b"})
        document["services"].push_back({{"name", name}, {"max_conns", 100}});
}

void soak_world::add_pausing_targets()
{
    for (std::size_t i = 0; i < pausing_targets; ++i)
    {
        pausing_.push_back(
            std::make_unique<standin_target>("pausing-" + std::to_string(i)));
        auto& one = *pausing_.back();
        one.set_handler(
            [this, &one](link_ptr const& link, http_request const& request)
            {
                answer_harmless(link, request, one);
                return true;
            });
        register_engine(one, i % 2 == 0 ? "pausing-a" : "pausing-b");
    }
}

void soak_world::answer_harmless(
    link_ptr const& link, http_request const& request, standin_target& at)
{
    ran(request, at);
    std::string const id(request["Request-Id"]);
    std::string const path(request.target());
    if (path.find("/pausing-turns/") != 0)
    {
        at.server().later(
            plain_run,
            [link, id]
            {
                link->write(standin_target::answer(
                    status_ok,
                    "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                    testing::soak_plain_body(id)));
                link->finish_answer();
            });
        return;
    }
    std::string const after(request["Last-Event-Id"]);
    auto const first = after.empty() ? 1 : std::stoi(after) + 1;
    link->write(stream_head(id));
    for (int i = first; i <= testing::soak_events; ++i)
    {
        at.server().later(
            between_events * (i - first), [link, id, i]
            { link->write(sized_chunk(testing::soak_event(id, i, "1"))); });
    }
    at.server().later(
        between_events * (testing::soak_events - first + 1),
        [link]
        {
            link->write("0\r\n\r\n");
            link->finish_answer();
        });
}

/// Lets targets pause until the faults end.
void soak_world::play_pauses()
{
    std::vector<standin_target*> all{&engine_a,  &engine_b,  &engine_c_,
                                     &engine_d_, &service_a, &service_b};
    for (auto const& one : pausing_)
        all.push_back(one.get());
    auto const last = static_cast<int>(all.size()) - 1;
    constexpr int last_kind = 4;
    while (faults_)
    {
        std::this_thread::sleep_for(
            milliseconds(pause_dice_.between(least_gap_ms, most_gap_ms)));
        std::vector<standin_target*> chosen;
        auto times = 1;
        switch (pause_dice_.between(0, last_kind))
        {
        case 0:
            count("fault: target pauses");
            chosen.push_back(
                all[static_cast<std::size_t>(pause_dice_.between(0, last))]);
            break;
        case 1:
            count("fault: target pauses in series");
            chosen.push_back(
                all[static_cast<std::size_t>(pause_dice_.between(0, last))]);
            times = pause_dice_.between(2, most_in_series);
            break;
        case 2:
        {
            count("fault: rack of targets pauses");
            auto const rack = static_cast<std::size_t>(
                pause_dice_.between(0, static_cast<int>(racks) - 1));
            for (auto i = rack; i < all.size(); i += racks)
                chosen.push_back(all[i]);
            break;
        }
        case 3:
            count("fault: all targets of two services pause");
            for (auto const& one : pausing_)
                chosen.push_back(one.get());
            break;
        default:
            count("fault: third of the targets pauses");
            chosen = all;
            for (std::size_t i = 0; i < all.size() / 3; ++i)
            {
                std::swap(
                    chosen[i],
                    chosen[static_cast<std::size_t>(
                        pause_dice_.between(static_cast<int>(i), last))]);
            }
            chosen.resize(all.size() / 3);
        }
        for (int i = 0; i < times && faults_; ++i)
        {
            auto const silence = milliseconds(
                pause_dice_.between(least_silence_ms, most_silence_ms));
            for (auto* one : chosen)
                one->server().pause(silence);
            std::this_thread::sleep_for(
                silence +
                milliseconds(pause_dice_.between(least_gap_ms, most_gap_ms)));
        }
    }
}

/// Changes limits, timeouts and weights, and lets a route come and go.
void soak_world::vary(nlohmann::json& document)
{
    constexpr int least_idle_ms = 800;
    constexpr int most_idle_ms = 3'000;
    constexpr int least_timeout_ms = 700;
    constexpr int most_timeout_ms = 3'000;
    constexpr int least_body_limit = 80'000;
    constexpr int most_body_limit = 100'000;
    constexpr int most_weight = 5;
    auto& limits = document["limits"];
    limits["idle_timeout_ms"] =
        change_dice_.between(least_idle_ms, most_idle_ms);
    limits["header_timeout_ms"] =
        change_dice_.between(2 * least_idle_ms, most_idle_ms);
    limits["max_body_bytes"] =
        change_dice_.between(least_body_limit, most_body_limit);
    auto& routes = document["routes"];
    for (auto& one : routes)
    {
        if (change_dice_.chance(0.3))
        {
            one["timeout_ms"] =
                change_dice_.between(least_timeout_ms, most_timeout_ms);
        }
        if (one.contains("split"))
        {
            for (auto& share : one["split"])
                share["weight"] = change_dice_.between(1, most_weight);
        }
    }
    if (change_dice_.chance(0.5))
    {
        routes.erase(
            std::remove_if(
                routes.begin(), routes.end(),
                [](auto const& one) { return one["name"] == "coming"; }),
            routes.end());
    }
}

} // namespace soak
} // namespace walnutmill
