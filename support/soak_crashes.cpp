/// \file
/// Requests that end their targets, in a pool of targets that also end by
/// themselves and are replaced by others.

#include "soak_world.hpp"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::http_request;
using testing::link_ptr;
using testing::standin_target;
using testing::test_caller;

constexpr std::size_t crashing_targets = 10;
constexpr char const* crashing_path = "/crashing/x";
/// First text of the bodies that end their target.
constexpr char const* deadly_prefix = "deadly ";
constexpr int attempts_of_a_deadly_request = 6;
constexpr milliseconds replacement_interval{200};
/// Part of the intervals in which a target ends by itself.
constexpr double ends_by_itself = 0.1;
/// Time after the end of a fault of a node, such as its start after a stop, for
/// which the fault may have an effect on what the node knows.
constexpr seconds fault_effect{2};
/// Mean number of targets that may end under a deadly request: a node that is
/// killed or frozen may not know of one, or take it along.
constexpr double most_ended_on_average = 4;
/// Harmless requests to the pool that each node has to serve after the faults.
constexpr int harmless_calls_after = 10;
constexpr int status_ok = 200;

} // namespace

nlohmann::json soak_world::base_configuration()
{
    auto document = configuration();
    constexpr std::size_t safe_route = 2;
    auto route = document["routes"][safe_route];
    route["name"] = "crashing";
    route["prefix"] = "/crashing/";
    route["service"] = "crashing";
    document["routes"].push_back(std::move(route));
    document["services"].push_back({{"name", "crashing"}, {"max_conns", 100}});
    add_pausing_services(document);
    return document;
}

void soak_world::add_crashing_target()
{
    std::lock_guard<std::mutex> const lock(crashing_mutex_);
    auto const id = "crashing-" + std::to_string(crashing_.size());
    crashing_.push_back({std::make_unique<standin_target>(id), false});
    auto& one = *crashing_.back().target;
    one.set_handler(
        [this, &one](link_ptr const& link, http_request const& request)
        {
            if (request.body().find(deadly_prefix) != 0)
                return false;
            auto const after = milliseconds(dice_.between(1, 30));
            one.server().later(
                after, [this, &one, link, body = request.body()]
                { end_crashing_target(one, body); });
            return true;
        });
    register_engine(one, "crashing");
}

/// \param body of the request that ends it; empty: it ends by itself
void soak_world::end_crashing_target(
    standin_target& one, std::string const& body)
{
    {
        std::lock_guard<std::mutex> const lock(crashing_mutex_);
        auto const found = std::find_if(
            crashing_.begin(), crashing_.end(),
            [&one](auto const& each) { return each.target.get() == &one; });
        if (std::exchange(found->has_ended, true))
            return;
        if (!body.empty())
            ++deadly_[body].ended;
    }
    count(
        body.empty() ? "target ended by itself" : "target ended by a request");
    // Some entries go at once, others stay until the target is replaced.
    if (dice_.chance(0.5))
        store.remove("servers", one.id());
    one.server().end();
}

/// Replaces targets that have ended, and ends some, until the callers stop.
void soak_world::keep_crashing_targets()
{
    for (std::size_t i = 0; i < crashing_targets; ++i)
        add_crashing_target();
    while (calling_)
    {
        std::this_thread::sleep_for(replacement_interval);
        std::vector<standin_target*> alive;
        {
            std::lock_guard<std::mutex> const lock(crashing_mutex_);
            for (auto const& one : crashing_)
            {
                if (one.has_ended)
                    store.remove("servers", one.target->id());
                else
                    alive.push_back(one.target.get());
            }
        }
        for (auto i = alive.size(); i < crashing_targets; ++i)
            add_crashing_target();
        if (faults_ && !alive.empty() && dice_.chance(ends_by_itself))
        {
            auto const last = static_cast<int>(alive.size()) - 1;
            end_crashing_target(
                *alive[static_cast<std::size_t>(dice_.between(0, last))], {});
        }
    }
}

/// Sends a request that ends its targets, at any node, again and again.
void soak_world::call_deadly()
{
    auto const body = deadly_prefix + std::to_string(++last_id_);
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < attempts_of_a_deadly_request; ++i)
    {
        auto const got =
            call_crashing(dice_.between(0, options_.nodes - 1), body);
        count("answer to a deadly request " + std::to_string(got.status));
        std::this_thread::sleep_for(milliseconds(dice_.between(1, 200)));
    }
    std::lock_guard<std::mutex> const lock(crashing_mutex_);
    auto& one = deadly_[body];
    one.began = began;
    one.ended_at = std::chrono::steady_clock::now();
}

testing::caller_answer
soak_world::call_crashing(int node, std::string const& body)
{
    try
    {
        test_caller caller(
            processes_[static_cast<std::size_t>(node)]->callers.text());
        return caller.call(
            post(crashing_path, "r" + std::to_string(++last_id_), {}, body));
    }
    catch (boost::system::system_error const&)
    {
        return {};
    }
}

std::size_t soak_world::node_fault_began()
{
    using clock = std::chrono::steady_clock;
    std::lock_guard<std::mutex> const lock(crashing_mutex_);
    node_faults_.push_back({clock::now(), clock::time_point::max()});
    return node_faults_.size() - 1;
}

void soak_world::node_fault_ended(std::size_t fault)
{
    std::lock_guard<std::mutex> const lock(crashing_mutex_);
    node_faults_[fault].ended = std::chrono::steady_clock::now();
}

std::vector<std::string> soak_world::broken_crash_limits()
{
    std::vector<std::string> broken;
    std::lock_guard<std::mutex> const lock(crashing_mutex_);
    int ended = 0;
    for (auto const& each : deadly_)
    {
        auto const& body = each.first;
        auto const& one = each.second;
        ended += one.ended;
        auto const faults = std::count_if(
            node_faults_.begin(), node_faults_.end(),
            [&one](node_fault const& fault)
            {
                return fault.began <= one.ended_at &&
                       fault.ended >= one.began - fault_effect;
            });
        if (one.ended > static_cast<int>(max_request_crashes + faults))
        {
            broken.push_back(
                std::to_string(one.ended) + " targets ended under '" + body +
                "' beside " + std::to_string(faults) + " faults of nodes");
        }
    }
    auto const requests = static_cast<double>(deadly_.size());
    if (ended > most_ended_on_average * requests)
    {
        broken.push_back(
            std::to_string(ended) + " targets ended under " +
            std::to_string(deadly_.size()) + " deadly requests");
    }
    return broken;
}

/// \return true if a node serves all harmless requests to the pool
bool soak_world::serves_crashing(int node)
{
    for (int i = 0; i < harmless_calls_after; ++i)
    {
        auto const body = "harmless " + std::to_string(i);
        if (call_crashing(node, body).status != status_ok)
            return false;
    }
    return true;
}

} // namespace soak
} // namespace walnutmill
