#ifndef WALNUTMILL_ROUTING_TABLE_HPP
#define WALNUTMILL_ROUTING_TABLE_HPP

/// \file
/// The configuration as the entry nodes use it: routes, services and limits
/// of one version, and the engines that serve them.

#include <walnutmill/ids.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutmill
{

/// What may be repeated on a route.
enum class repeatability
{
    /// May run any number of times.
    idempotent,
    /// Runs at most once for each attempt of a caller.
    at_most_once
};

/// One of the services that share a route, by weight.
struct route_share
{
    service_name service;
    std::uint32_t weight = 0;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    repeatability repeats = repeatability::at_most_once;
    /// The answer is a stream of events.
    bool streams = false;
    /// A broken stream may go on at another engine.
    bool resumable = false;
    /// The history of its turns is kept here; callers send new input only.
    bool keeps_turns = false;
    std::chrono::milliseconds kept_for{0};
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds target_latency{0};
    /// Engines that one attempt of a caller may run on.
    std::uint32_t max_engines = 1;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Serves callers without a key, too.
    bool open = false;
    std::vector<route_share> shares;
};

/// How a service's model engines generate.
struct engine_model
{
    std::uint32_t slots = 16;
    /// Tokens in each event of a stream.
    std::uint32_t tokens_per_event = 1;
    std::uint64_t cache_tokens = 0;
};

struct service
{
    service_name name;
    /// Connections that one engine takes from all nodes together.
    std::uint32_t max_connections = 64;
    /// Set for services of model engines.
    std::optional<engine_model> model;
};

/// Bounds on what callers send.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of the configuration.
class routing_table
{
public:
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// Empty: callers need no key. Without a single workspace nobody is served
    /// but on open routes.
    std::optional<workspace_directory> workspaces;

    /// Sorts the routes for match(); call once after filling them.
    void seal();

    /// \return the route with the longest prefix of that path among those of
    /// the host; null when there is none.
    route const* match(std::string_view host, std::string_view path) const;

    /// \return null when there is no such service.
    service const* find_service(service_name const& name) const;
};

/// Whether an engine takes new work.
enum class engine_state
{
    ready,
    draining
};

/// One run of an engine. An engine may start again under its id; it then holds
/// and knows nothing of before.
struct engine_incarnation
{
    /// When it started, in UTC milliseconds of its own clock; 0: not told.
    std::int64_t started_at_ms = 0;

    friend bool operator==(engine_incarnation a, engine_incarnation b)
    {
        return a.started_at_ms == b.started_at_ms;
    }
    friend bool operator!=(engine_incarnation a, engine_incarnation b)
    {
        return !(a == b);
    }
    friend bool operator<(engine_incarnation a, engine_incarnation b)
    {
        return a.started_at_ms < b.started_at_ms;
    }
};

/// An engine, or one incarnation of it.
struct engine_ref
{
    target_name id;
    /// Empty: whichever runs at present.
    std::optional<engine_incarnation> incarnation;

    // Not explicit: a name alone stands for the present incarnation.
    engine_ref(target_name name) : id(std::move(name)) {}
    engine_ref(target_name name, engine_incarnation one)
        : id(std::move(name)), incarnation(one)
    {
    }

    friend bool operator==(engine_ref const& a, engine_ref const& b)
    {
        return a.id == b.id && a.incarnation == b.incarnation;
    }
};

/// One incarnation of an engine, as it registered itself.
struct engine_entry
{
    target_name id;
    engine_incarnation incarnation;
    service_name service;
    /// IP:PORT
    std::string address;
    zone_name zone;
    std::uint32_t slots = 1;
    engine_state state = engine_state::ready;
};

} // namespace walnutmill

#endif
