#ifndef WALNUTMILL_SRC_POLICY_SCHEDULING_HPP
#define WALNUTMILL_SRC_POLICY_SCHEDULING_HPP

/// \file
/// The decision modules joined into the hooks of a program owner: admission,
/// fair queue, placement, retention and retry, fed with what this node sees.

#include <walnutmill/admission.hpp>
#include <walnutmill/fair_queue.hpp>
#include <walnutmill/placement.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/retention.hpp>
#include <walnutmill/retry.hpp>

#include "scheduling.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace walnutmill
{

/// What an engine or service reports of itself.
struct target_load
{
    target_name target;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t cache_used = 0;
    std::uint64_t cache_size = 0;
    duration age{0};
};

/// The scheduling state of one node. Used on the owner's thread only.
class policy_scheduling
{
public:
    explicit policy_scheduling(random_fn random);

    /// Takes a new configuration in; targets that left are forgotten.
    void set_configuration(
        std::shared_ptr<configuration const> const& config, time_point now);
    void on_load(target_load const& load, time_point now);
    /// Nodes that share the targets, this one included.
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }

    /// Hooks that refer to this object, which must outlive them.
    scheduling_hooks hooks();

private:
    /// A send under way, for the queue's account.
    struct open_send
    {
        service_name service;
        workspace_name workspace;
        program_id root;
        target_name target;
        double expected_work = 0.0;
    };

    /// Figures since the last snapshot for admission.
    struct interval
    {
        time_point began;
        std::uint32_t started = 0;
        std::uint32_t ended_programs = 0;
        duration waited{0};
    };

    std::optional<refusal> admit(admission_query const& query, time_point now);
    void adopt(admission_query const& query);
    void forget(program_id const& root, time_point now);
    void enqueue(waiting_call const& call);
    void
    offer(time_point now, std::function<bool(call_handle)> const& dispatch);
    std::optional<placement_choice>
    place(placement_query const& query, time_point now);
    send_ticket sent(
        placement_query const& query, target_name const& target,
        time_point now);
    void ended(send_report const& report, time_point now);
    std::chrono::milliseconds hold_for(retention_query const& query) const;
    std::optional<duration> retry(retry_query const& query, time_point now);
    void observe(time_point now);
    double own_slots() const;
    double weight_of(workspace_name const& name) const;

    random_fn random_;
    std::shared_ptr<configuration const> config_;
    std::size_t nodes_ = 1;
    admission admission_;
    placement placement_;
    pause_statistics pauses_;
    retention retention_;
    retry_policy retries_;
    std::map<service_name, fair_queue> queues_;
    std::unordered_map<program_id, workspace_name> programs_;
    std::unordered_map<send_ticket, open_send> sends_;
    std::unordered_map<target_name, target_load> loads_;
    interval interval_;
};

} // namespace walnutmill

#endif
