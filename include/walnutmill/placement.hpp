#ifndef WALNUTMILL_PLACEMENT_HPP
#define WALNUTMILL_PLACEMENT_HPP

/// \file
/// Which target a call goes to.
///
/// Load patterns: load reports that are late and that all nodes see alike, a
/// slow target that reports normal load, a hot shared prefix. Without it all
/// nodes send to the target that looked idle, a slow target keeps its share
/// of every program's calls, and histories are prefilled again and again.
///
/// A few candidates are drawn at random from the targets with room, and with
/// them the target that has the program's cache; the least expected cost in
/// seconds wins. Few random choices stay close to the best under fresh
/// reports and do not herd under old ones (Mitzenmacher 2000), and fewer are
/// drawn the older the reports are. The cost of a decision does not depend on
/// the number of targets.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/random.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// What is known of a target: its configuration and its last report.
struct target_view
{
    target_name name;
    zone_name zone;
    target_policy policy = target_policy::in_service;
    /// Calls it serves at a time.
    std::uint32_t slots = 16;
    /// Calls of all nodes that it ran and had waiting, as it reported.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Age of the report when it arrived.
    duration report_age{0};
    /// Part of its cache memory in use, 0 to 1.
    double memory_pressure = 0.0;
    /// Loaded now; calls for others are not sent to it.
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// It is asleep, waking or loading, and takes no calls yet.
    bool loading = false;
};

/// The targets of one service.
struct placement_pool
{
    service_name service;
    /// Needed of every target; empty for a plain service.
    std::string model;
    /// Needed besides the model; may be empty.
    std::string adapter;
    std::vector<target_name> targets;
};

/// A target that has the first tokens of a prompt in its cache.
struct cache_location
{
    target_name target;
    std::uint32_t tokens = 0;
};

struct placement_request
{
    service_name service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_tokens = 0;
    /// Where the program's history and its shared prefix lie. Each is
    /// looked at, so give a few at most.
    std::vector<cache_location> cached;
    /// Not to be chosen: a retry or hedge avoids where the call was before.
    std::vector<target_name> avoid;
    /// How long it has waited for a target so far.
    duration waited{0};
    /// A call that may not be repeated is not used as a probe.
    bool repeatable = true;
};

enum class placement_reason
{
    /// The program's cache lies there and that outweighs its load.
    affinity,
    /// The least expected cost among the candidates drawn.
    least_cost,
    /// A target on probation gets a single call to see if it has recovered.
    probe,
    /// No target: the service has none in service with model and adapter.
    none_available,
    /// No target: all that could serve it are full, as far as is known.
    all_full,
    /// No target: the one that has its history is full, and waiting for it
    /// costs less than prefilling elsewhere.
    awaits_cache
};
std::string_view to_string(placement_reason reason);

struct placement_decision
{
    /// Empty when there is none; the call then stays in the queue.
    target_name target;
    placement_reason reason = placement_reason::none_available;
    /// Expected seconds until the call ends there.
    double expected_seconds = 0.0;
    /// Targets that were looked at.
    std::uint32_t considered = 0;
};

/// Whether a target is trusted.
enum class target_health
{
    healthy,
    /// Much slower than its peers, or failing: single probes only.
    probation
};

struct placement_options
{
    /// Candidates drawn when reports are fresh and when they are old. Two is
    /// the least that compares; beyond five the gain is nil (Mitzenmacher).
    std::uint32_t fresh_candidates = 4;
    std::uint32_t stale_candidates = 2;
    /// A report is old once it is older than a call takes: by then the calls
    /// that it counted have ended.
    duration stale_after = std::chrono::seconds(2);
    /// Draws that may hit an unfit target before the search ends.
    std::uint32_t max_draws = 16;
    /// Seconds per call, and per token prefilled and generated. Measured
    /// latencies are compared with these, and the median of the ratio is
    /// learned: only their proportion matters to the choice.
    double base_seconds = 0.02;
    double prefill_seconds = 0.0002;
    double decode_seconds = 0.02;
    /// How much dearer a second of prefill is than one of decoding: it delays
    /// all that the engine runs, and the prefills behind it.
    double prefill_weight = 4.0;
    /// Load up to which a target takes any call, against its slots. What
    /// waits in its own queue is ordered by priority over all nodes, which
    /// the queues of the nodes are not. Only for targets that honor
    /// priorities: others serve in order of arrival, so take 1.0 there.
    double open_load = 3.0;
    /// The same for calls whose cache it has.
    double home_load = 4.0;
    /// Seconds that a call waits for the target that has its history, for
    /// each second of prefill that this saves (delay scheduling; Zaharia
    /// 2010). More than one, since a prefill holds up the whole batch.
    double affinity_patience = 10.0;
    /// How much a full batch lengthens a call, against an empty engine.
    double batch_slowdown = 0.5;
    /// A target is an outlier when its latency is this many times that of
    /// its peers, and recovered below the second figure. Twice is beyond
    /// what batching explains (1.5 with the figure above).
    double outlier_ratio = 2.0;
    double recovered_ratio = 1.4;
    /// Samples before a target is judged, and good probes that end probation.
    std::uint32_t least_samples = 5;
    std::uint32_t good_probes = 2;
    /// Failures in a row that put a target on probation.
    std::uint32_t max_failures = 3;
    /// Time between probes; doubles with each bad one up to the greatest.
    duration probe_interval = std::chrono::seconds(5);
    duration greatest_probe_interval = std::chrono::seconds(60);
    /// Greatest part of a pool on probation: beyond it the cause is not the
    /// target, and the rest could not carry the load.
    double max_probation = 0.34;
    /// A call is overdue when it takes this many times what its peers' would:
    /// far more, since the wait for a prefill in a full batch counts too;
    /// three overdue ones at a time count as a sample each time the target
    /// reports, so that one which hangs is found without any answer.
    double overdue_ratio = 10.0;
    /// Least time after which a call can be overdue.
    duration least_overdue = std::chrono::seconds(1);
    /// Weight of a new latency sample in a target's average: half of it is
    /// the last four samples.
    double sample_weight = 0.16;
};

/// Number of a call that was sent; never zero.
using sent_ticket = std::uint64_t;

/// What a call is expected to take, for the comparison of latencies.
struct sent_call
{
    /// May be empty where the target serves one service only.
    service_name service;
    target_name target;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t expected_tokens = 0;
};

/// Placement of one node, with what it has seen of each target. Not
/// thread-safe.
class placement
{
public:
    explicit placement(placement_options options = {});
    ~placement();
    placement(placement const&) = delete;
    placement& operator=(placement const&) = delete;

    /// Sets or replaces the targets of a service: O(targets), for changes of
    /// the configuration. Targets without a report are left out until one
    /// arrives.
    void set_pool(placement_pool pool);
    void erase_pool(service_name const& service);
    /// Takes in a target's configuration and report, as of `now`; also when
    /// only its policy has changed.
    void on_report(target_view const& view, time_point now);
    /// How many calls the other nodes send for each of this one, from the
    /// rates that they tell each other. What they sent since a report is
    /// unseen; it is taken to be this much of what this node sent.
    void set_peer_ratio(double others_per_own);
    /// Forgets a target that was removed.
    void erase_target(target_name const& target);

    /// Chooses a target for a call. Counts nothing: call on_sent().
    placement_decision choose(
        placement_request const& request, time_point now,
        random_fn const& random);

    /// Counts a call as sent. \return its ticket for the calls below.
    sent_ticket on_sent(sent_call const& call, time_point now);
    /// The first token, or the first byte of the answer, arrived.
    void on_first_token(sent_ticket ticket, time_point now);
    /// The call ended well, having generated so many tokens.
    void on_done(sent_ticket ticket, std::uint32_t tokens, time_point now);
    /// The call failed or could not be sent.
    void on_failed(sent_ticket ticket, time_point now);
    /// The call was taken back; says nothing of the target.
    void on_canceled(sent_ticket ticket);

    /// \return healthy for a target that is not known.
    target_health health(target_name const& target) const;
    /// \return latency against its peers, 1 when nothing is known.
    double slowness(target_name const& target) const;
    /// \return calls of this node under way at the target.
    std::uint32_t in_flight(target_name const& target) const;
    /// \return load as estimated: the report and own calls since.
    double estimated_load(target_name const& target) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif
