#ifndef WALNUTMILL_CONFIGURATION_HPP
#define WALNUTMILL_CONFIGURATION_HPP

/// \file
/// The versioned configuration document: what operators accept as a whole.

#include <walnutmill/finding.hpp>
#include <walnutmill/ids.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

enum class target_kind
{
    engine,
    plain
};

/// What operators ask of a target, apart from what is observed of it
/// (policy and state as in RFD 457). `expunged` cannot be undone.
enum class target_policy
{
    in_service,
    drain,
    stop,
    expunged
};

struct target_config
{
    target_name name;
    target_kind kind = target_kind::engine;
    zone_name zone;
    /// "http://127.0.0.1:9000"
    std::string address;
    /// Models an engine is to have loaded.
    std::vector<std::string> models;
    /// Adapters an engine is to have loaded.
    std::vector<std::string> adapters;
    /// Role an engine is to have; empty leaves it as it is.
    std::string role;
    /// The operator's word that a stop may cut off running work; it is cleared
    /// when the policy leaves stop and expunged.
    bool stop_now = false;
    /// Whether it refuses an order with an old fencing number.
    bool checks_fencing = false;
    /// Whether it can be asked for the outcome of an idempotency key.
    bool answers_outcome_queries = false;
    target_policy policy = target_policy::in_service;
    /// Version of the document that last changed the policy; set when a change
    /// is drafted, so that a stop and a wake in a row are not taken for none.
    std::uint64_t policy_since = 0;
    /// Calls it serves at a time.
    std::uint32_t slots = 16;
};

struct service_config
{
    service_name name;
    target_kind kind = target_kind::engine;
    /// The model that calls need; empty for a plain service.
    std::string model;
    std::vector<target_name> targets;
    /// How much program latency and wasted cache weigh in decisions.
    double latency_weight = 1.0;
    double waste_weight = 1.0;
    /// Whether its calls may be repeated unless a call says otherwise.
    bool repeatable = true;
    /// Budget units that one call of a plain service costs.
    std::uint64_t call_cost = 1;
    std::chrono::milliseconds call_timeout{60'000};
};

/// What the holder of a token may do in a workspace.
enum class right
{
    call,
    operate
};

struct access_token
{
    /// Hex SHA-256 of the token; the token itself is never stored.
    std::string sha256;
    std::string principal;
    std::vector<right> rights;
};

struct workspace_config
{
    workspace_name name;
    /// Share under contention, relative to the other workspaces.
    double weight = 1.0;
    /// Largest budget that one program may be given, in budget units.
    std::uint64_t max_budget = 1'000'000;
    std::vector<service_name> services;
    std::vector<access_token> tokens;
};

struct limits_config
{
    std::uint32_t max_turns = 128;
    std::uint32_t max_depth = 4;
    std::uint32_t max_sub_agents = 64;
    std::uint32_t max_programs_per_node = 20'000;
    /// Calls waiting at one node before new programs are refused.
    std::uint32_t max_queued_calls = 4'096;
    std::uint64_t max_input_bytes = 1 << 20;
    std::uint64_t budget_slice = 20'000;
    /// Loads from the rate-limited weight store that may run at a time, over
    /// all nodes.
    std::uint32_t weight_loads = 2;
    std::chrono::milliseconds program_abandoned_after{1'800'000};
};

/// The whole document. Names are unique; references are checked.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<zone_name> zones;
    std::vector<target_config> targets;
    std::vector<service_config> services;
    std::vector<workspace_config> workspaces;
    limits_config limits;
};

/// A document and what is wrong with it.
struct parsed_configuration
{
    configuration value;
    findings problems;
};

/// Parses and checks a document as a whole; unknown keys are findings. Places
/// are JSON pointers. Never throws.
parsed_configuration parse_configuration(std::string_view json_text);

/// \return the document as JSON text, readable by parse_configuration.
std::string to_json_text(configuration const& config);

/// Finds by name in one of the document's lists.
/// \return nullptr when there is none.
target_config const*
find_target(configuration const& config, target_name const& name);
service_config const*
find_service(configuration const& config, service_name const& name);
workspace_config const*
find_workspace(configuration const& config, workspace_name const& name);

} // namespace walnutmill

#endif
