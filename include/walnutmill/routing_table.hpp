#ifndef WALNUTMILL_ROUTING_TABLE_HPP
#define WALNUTMILL_ROUTING_TABLE_HPP

/// \file
/// The configuration in the form that entry nodes use: routes, services,
/// workspaces and limits of one version, and the entries of registered engines.

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

/// Whether calls of a route may be retried.
enum class repeatability
{
    /// May run any number of times.
    idempotent,
    /// May run at most once for each attempt of a caller.
    at_most_once
};

/// A service that receives a weighted share of the calls of a route.
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
    /// The response is an event stream.
    bool streams = false;
    /// An interrupted stream may resume on another engine.
    bool resumable = false;
    /// The history of turns is stored by the entry nodes; callers send only new
    /// input.
    bool keeps_turns = false;
    /// Retention time of stored turns.
    std::chrono::milliseconds kept_for{0};
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds target_latency{0};
    /// Callers leave a stream that is silent for longer than this.
    std::chrono::milliseconds silence_limit{2'000};
    /// Maximum number of engines that one attempt of a caller may run on.
    std::uint32_t max_engines = 1;
    /// Priority; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Callers without a key are served, too.
    bool open = false;
    std::vector<route_share> shares;
};

/// Properties of the model engines of a service.
struct engine_model
{
    /// Number of turns that an engine generates at the same time.
    std::uint32_t slots = 16;
    /// Tokens per event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// Size of the prefix cache of an engine, in tokens.
    std::uint64_t cache_tokens = 0;
};

struct service
{
    service_name name;
    /// Maximum number of connections to one engine from all nodes together.
    std::uint32_t max_connections = 64;
    /// Set only for services of model engines.
    std::optional<engine_model> model;
};

/// Limits on the requests and connections of callers.
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
    /// Unset: callers need no key. Set without any workspace: only open routes
    /// serve callers.
    std::optional<workspace_directory> workspaces;

    /// Sorts the routes for match(). Must be called once after filling them.
    void seal();

    /// \return the route of the host with the longest prefix that matches the
    /// path; null if there is none.
    route const* match(std::string_view host, std::string_view path) const;

    /// \return null if there is no such service.
    service const* find_service(service_name const& name) const;
};

/// Whether an engine accepts new work.
enum class engine_state
{
    ready,
    draining
};

/// One run of an engine process. An engine may restart under the same id; all
/// state of the previous run, such as caches and calls, is then lost.
struct engine_incarnation
{
    /// Start time in UTC milliseconds by the clock of the engine; 0: not
    /// reported.
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

/// Reference to an engine or to one incarnation of it.
struct engine_ref
{
    target_name id;
    /// Unset: the current incarnation.
    std::optional<engine_incarnation> incarnation;

    // Implicit conversion: a name alone refers to the current incarnation.
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

/// Registration of one incarnation of an engine.
struct engine_entry
{
    target_name id;
    engine_incarnation incarnation;
    service_name service;
    /// IP:PORT
    std::string address;
    zone_name zone;
    /// Version of the engine's software; empty where it reports none.
    std::string version;
    std::uint32_t slots = 1;
    engine_state state = engine_state::ready;
};

} // namespace walnutmill

#endif
