/// \file
/// Workspaces with request limits, one of which sends several times its usual
/// rate for some seconds while the others send as usual.

#include "soak_world.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_kind;

constexpr int workspaces = 5;
constexpr int hot_workspace = 0;
/// Rate of the hot workspace as a multiple of the usual.
constexpr int hot_factor = 7;
/// Between two calls at the usual rate, 10 a second.
constexpr milliseconds usual_interval{100};
/// Twice the usual, so that the hot workspace exceeds its limit.
constexpr int limit_per_s = 20;
constexpr int limit_burst = 20;
/// After which the limits' coordinators have granted a full burst.
constexpr seconds usual_time{2};
constexpr seconds hot_time{4};
constexpr milliseconds pause_before_retry{200};
constexpr int tries_of_a_call = 4;

constexpr std::size_t turns_route = 0;
constexpr std::size_t safe_route = 2;
constexpr int status_ok = 200;

std::string name_of(int workspace)
{
    return "workspace-" + std::to_string(workspace);
}

} // namespace

/// Adds workspaces, and routes that need their keys. The other routes stay open
/// to callers without a key.
void soak_world::add_workspaces(nlohmann::json& document)
{
    for (auto& one : document["routes"])
        one["public"] = true;
    auto const add_route =
        [&document](std::size_t like, std::string const& name)
    {
        auto route = document["routes"][like];
        route["name"] = name;
        route["prefix"] = "/" + name + "/";
        route.erase("public");
        document["routes"].push_back(std::move(route));
    };
    add_route(turns_route, "owned-turns");
    add_route(safe_route, "owned");
    for (int i = 0; i < workspaces; ++i)
    {
        document["tenants"].push_back(
            {{"name", name_of(i)},
             {"api_keys", {"key-of-" + name_of(i)}},
             {"rate_per_s", limit_per_s},
             {"burst", limit_burst}});
    }
}

void soak_world::play_hot_workspace()
{
    auto const began = std::chrono::steady_clock::now();
    auto const hot_at = began + usual_time;
    auto const end = hot_at + hot_time;
    std::vector<std::thread> callers;
    callers.reserve(workspaces + hot_factor);
    for (int i = 0; i < workspaces; ++i)
        callers.emplace_back([this, i, end] { call_as_workspace(i, end); });
    std::this_thread::sleep_until(hot_at);
    for (int i = 1; i < hot_factor; ++i)
    {
        callers.emplace_back([this, end]
                             { call_as_workspace(hot_workspace, end); });
    }
    for (auto& one : callers)
        one.join();
}

void soak_world::call_as_workspace(
    int workspace, std::chrono::steady_clock::time_point end)
{
    auto next = std::chrono::steady_clock::now();
    for (int node = workspace; next < end; ++node)
    {
        std::this_thread::sleep_until(next);
        next += usual_interval;
        program_run one;
        one.id = "w" + std::to_string(++last_id_);
        one.budget = 2 * most_tokens;
        one.workspace = name_of(workspace);
        auto const is_turn = node % 2 == 0;
        auto const kind = is_turn ? call_kind::turn : call_kind::lookup;
        std::string const path = is_turn ? "/owned-turns/x" : "/owned/x";
        auto const is_hot = workspace == hot_workspace;
        auto const tries = is_hot ? 1 : tries_of_a_call;
        for (int i = 0; i < tries; ++i)
        {
            one.has_to_be_served = !is_hot && i + 1 == tries;
            auto const got =
                attempt(one, kind, (node + i) % options_.nodes, path, {});
            count(
                std::string(is_hot ? "hot" : "usual") +
                " workspace: " + std::to_string(got.status));
            if (got.status == status_ok && got.whole)
                break;
            std::this_thread::sleep_for(pause_before_retry);
        }
    }
}

} // namespace soak
} // namespace walnutmill
