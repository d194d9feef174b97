#ifndef WALNUTMILL_FAIR_QUEUE_HPP
#define WALNUTMILL_FAIR_QUEUE_HPP

/// \file
/// The order in which waiting calls are served.
///
/// Load patterns: a hot caller, long programs among short ones. Without it a
/// workspace that sends most calls gets most of the slots, and a long program
/// delays every short one behind it.
///
/// Across workspaces: start-time fair queueing (Goyal, Vin, Cheng 1996) by
/// weight. Within one: least attained service over the whole program, because
/// its length is not known in advance (Nuyens, Wierman 2008; for agent
/// programs Autellix, 2025). Attained service counts in doubling levels, so
/// that programs of like length do not take turns and all end late. Waiting
/// earns credit: the sort key is level + aging_rate * time of arrival, which
/// stays put while the call waits, so each operation is O(log n).
///
/// Targets that honor priorities go on with that order among the calls of all
/// nodes: each popped call carries its key, weighed by how much more than its
/// share its workspace used of late.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// A call that waits for a target.
struct queued_call
{
    /// The caller's own number of the call, unique in the queue.
    std::uint64_t handle = 0;
    workspace_name workspace;
    /// Share of the workspace; greater than zero.
    double workspace_weight = 1.0;
    /// The root of the program, which sub-agents count for.
    program_id root;
    /// Work in slot-seconds, as far as it can be told before.
    double expected_work = 1.0;
    time_point enqueued;
    time_point deadline = time_point::max();
};

/// Work that a call taken from the queue has in truth needed.
struct attained_service
{
    workspace_name workspace;
    program_id root;
    /// What pop() charged for the call: its expected_work.
    double expected = 0.0;
    /// Slot-seconds that it took.
    double work = 0.0;
};

/// Why a call was next.
enum class queue_reason
{
    /// Its workspace is furthest behind its share, and its program has
    /// attained the least there.
    least_attained,
    /// Programs with less attained service wait, but it waited longer.
    aged,
    /// Calls before it were passed over as not eligible.
    first_eligible
};
std::string_view to_string(queue_reason reason);

/// The next call, why, and how long it waited.
struct popped_call
{
    queued_call call;
    queue_reason reason = queue_reason::least_attained;
    duration waited{0};
    /// Its program has attained less than young_below.
    bool young = false;
    /// For targets that honor priorities, lower first: the program's level,
    /// times how far its workspace is above its share of late, and the time
    /// of arrival times aging_rate. Nodes whose clocks differ by a second
    /// differ by aging_rate.
    double priority = 0.0;
};

struct fair_queue_options
{
    /// Slot-seconds of the first level; each further level is twice as wide.
    /// About one turn, so that a program's first calls go before others' rest.
    double first_level = 2.0;
    /// Slot-seconds of attained service that a second of waiting makes up
    /// for. A call is passed by later ones for at most level / aging_rate.
    /// The benchmark finishes as many programs in time with 0 to 0.1, and fewer
    /// under overload with 0.5.
    double aging_rate = 0.05;
    /// Slot-seconds below which a program is young: it may yet be a short one,
    /// and admission goes by how long such wait. About a turn; eight gave the
    /// same, thirty a tenth fewer programs in time at four times the load.
    double young_below = 4.0;
    /// Time constant of what workspaces used of late.
    duration usage_memory = std::chrono::seconds(60);
    /// Calls that pop() may pass over as not eligible, so that its cost
    /// stays bounded.
    std::size_t max_examined = 16;
};

/// Calls that compete for the same targets: one queue per service. Not
/// thread-safe.
class fair_queue
{
public:
    /// Whether a call could be placed now.
    using eligible_fn = std::function<bool(queued_call const&)>;

    explicit fair_queue(fair_queue_options options = {});

    /// \return false when the handle is in the queue already.
    bool push(queued_call call);

    /// Takes the next call that is eligible (all, when the hook is empty)
    /// and charges its expected work. Calls past their deadline are left for
    /// take_expired().
    std::optional<popped_call>
    pop(time_point now, eligible_fn const& eligible = {});

    /// Takes out calls whose deadline has passed; they have not run.
    std::vector<queued_call> take_expired(time_point now);

    /// \return whether the call was waiting; it then will not be popped.
    bool erase(std::uint64_t handle);

    /// Corrects what pop() charged once the true work is known.
    void charge(attained_service const& service);

    /// Forgets a program that has ended, and its waiting calls.
    /// \return the handles of the calls that were dropped.
    std::vector<std::uint64_t> forget(program_id const& root);

    /// \return slot-seconds attained by the program, zero when not known.
    double attained(program_id const& root) const;

    std::size_t size() const noexcept { return calls_.size(); }
    /// \return waiting calls of young programs.
    std::size_t young_calls() const noexcept { return young_calls_; }
    bool empty() const noexcept { return calls_.empty(); }

    /// \return when the call that waits longest arrived.
    std::optional<time_point> oldest() const;

private:
    struct call_key
    {
        time_point at;
        std::uint64_t handle;
        friend bool operator<(call_key const& a, call_key const& b)
        {
            return a.at != b.at ? a.at < b.at : a.handle < b.handle;
        }
    };
    struct program_key
    {
        double rank;
        std::uint64_t serial;
        friend bool operator<(program_key const& a, program_key const& b)
        {
            return a.rank != b.rank ? a.rank < b.rank : a.serial < b.serial;
        }
    };
    struct program_state
    {
        program_id root;
        workspace_name workspace;
        std::uint64_t serial = 0;
        double attained = 0.0;
        program_key key{};
        std::set<call_key> waiting;
    };
    struct workspace_state
    {
        double weight = 0.0;
        double start_tag = 0.0;
        /// Work of late per weight, decayed as of `used_at`.
        double used = 0.0;
        time_point used_at;
        std::map<program_key, program_state*> ready;
        /// Levels of the ready programs, to tell whether one was passed.
        std::multiset<double> levels;
    };
    struct workspace_key
    {
        double start_tag;
        workspace_name name;
        friend bool operator<(workspace_key const& a, workspace_key const& b)
        {
            return a.start_tag != b.start_tag ? a.start_tag < b.start_tag
                                              : a.name < b.name;
        }
    };

    double level_of(double attained) const;
    bool is_young(program_state const& program) const;
    program_key key_of(program_state const& program) const;
    program_state& program_of(queued_call const& call);
    void set_weight(workspace_state& workspace, double weight);
    void enter(program_state& program);
    void leave(program_state& program);
    void unlink(queued_call const& call);
    void advance(workspace_name const& name, double work);
    double decayed(double used, time_point at) const;
    void use(workspace_state& workspace, double work);
    double overuse(workspace_state const& workspace) const;
    void add_work(program_state& program, double work);
    popped_call take(queued_call const& chosen, time_point now, bool skipped);

    fair_queue_options options_;
    std::unordered_map<std::uint64_t, queued_call> calls_;
    std::unordered_map<program_id, program_state> programs_;
    std::unordered_map<workspace_name, workspace_state> workspaces_;
    std::set<workspace_key> backlogged_;
    std::set<call_key> by_arrival_;
    std::set<call_key> by_deadline_;
    std::size_t young_calls_ = 0;
    double virtual_time_ = 0.0;
    /// Work of late by all, and the weight of all workspaces seen.
    double used_ = 0.0;
    time_point used_at_;
    double weight_ = 0.0;
    time_point now_;
    std::uint64_t next_serial_ = 0;
};

} // namespace walnutmill

#endif
