#ifndef WALNUTMILL_TEST_STANDIN_ROLE_HPP
#define WALNUTMILL_TEST_STANDIN_ROLE_HPP

/// \file
/// The roles that the stand-in program can play.

#include "standin_faults.hpp"
#include "standin_http.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill::standin
{

/// What a role may be told at its start.
struct role_options
{
    std::string name;
    /// Time of one decoding step of an engine.
    std::chrono::microseconds token_time{200};
    /// Requests an engine decodes at a time.
    std::uint32_t slots = 16;
    /// Requests that may wait at an engine.
    std::uint32_t queue = 256;
    /// Prefix cache of an engine, in tokens.
    std::uint64_t cache_tokens = 200'000;
    /// Prompt tokens that an engine takes in within one step.
    std::uint64_t prefill_per_step = 64;
    /// Time until an order takes effect.
    std::chrono::milliseconds order_time{20};
    /// Time one call of a plain service runs.
    std::chrono::milliseconds run_time{1};
    /// Models and adapters that an engine has loaded at its start.
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// Whether the ledger keeps all turns that an engine saw.
    bool record_turns = false;
};

/// What a role works with; outlives it.
struct surroundings
{
    role_options options;
    faults switches;
    ledger book;
    /// Calls back after a delay.
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;

    explicit surroundings(role_options chosen)
        : options(std::move(chosen)), book(options.name)
    {
    }
};

/// One part of the platform or one target. Thread-safe; never blocks.
class role
{
public:
    role() = default;
    virtual ~role() = default;
    role(role const&) = delete;
    role& operator=(role const&) = delete;

    virtual void handle(http_call const& call, responder const& answer) = 0;
    /// Whether the request has an effect, so that its answer can get lost.
    virtual bool is_write(http_call const& call) const = 0;
    /// Whether `hang` takes effect within the role rather than before it.
    virtual bool hangs_itself(http_call const&) const { return false; }
};

std::unique_ptr<role> make_table(surroundings& around);
std::unique_ptr<role> make_objects(surroundings& around);
std::unique_ptr<role> make_vms(surroundings& around);
std::unique_ptr<role> make_engine(surroundings& around);
std::unique_ptr<role> make_service(surroundings& around);

} // namespace walnutmill::standin

#endif
