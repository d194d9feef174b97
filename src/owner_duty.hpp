#ifndef WALNUTMILL_SRC_OWNER_DUTY_HPP
#define WALNUTMILL_SRC_OWNER_DUTY_HPP

/// \file
/// The thread that runs the program owner and carries out its effects.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>

#include "bounded_ring.hpp"
#include "journal_duty.hpp"
#include "program_owner.hpp"
#include "target_client.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace walnutmill
{

/// A shard's records as of one commit of this session.
struct shard_snapshot
{
    std::vector<journal_record> records;
    std::uint64_t counter = 0;
};

struct owner_duty_options
{
    std::uint32_t shards = 0;
    clock_fn clock;
    /// Longest time between two ticks.
    duration tick = std::chrono::milliseconds(10);
    /// A pause of the loop beyond this means that the process was frozen.
    duration longest_pause{0};
    /// Appends waiting for the table beyond which new calls are refused:
    /// the bound on work that runs ahead of an outage.
    std::size_t max_backlog = 4'096;
};

struct owner_duty_hooks
{
    std::function<void(decision_effect const&)> decided;
};

/// Runs the owner. Thread-safe.
class owner_duty
{
public:
    using task = std::function<void(program_owner&, time_point)>;

    owner_duty(
        scheduling_hooks scheduling, owner_duty_options options,
        owner_duty_hooks hooks, target_client& targets, metrics& counters);
    ~owner_duty();
    owner_duty(owner_duty const&) = delete;
    owner_duty& operator=(owner_duty const&) = delete;

    /// Starts the thread; the journal must outlive the duty.
    void start(journal_duty& journal);
    /// Ends the thread; what is handed in later is dropped.
    void stop();
    /// Runs a task on the owner's thread; waits for room.
    void post(task work);
    /// Hands a caller's request in, or refuses it when the duty is too busy
    /// or the table has been out of reach for too long.
    void submit(caller_request request, answer_sink sink);
    void set_configuration(std::shared_ptr<configuration const> const& config);
    void on_committed(std::vector<committed_append> done);

    /// \return the value of `read`, computed on the owner's thread.
    template<class Read>
    auto ask(Read read) -> decltype(read(std::declval<program_owner&>()))
    {
        using value = decltype(read(std::declval<program_owner&>()));
        std::promise<value> promise;
        auto answer = promise.get_future();
        post([&](program_owner& owner, time_point)
             { promise.set_value(read(owner)); });
        return answer.get();
    }
    shard_snapshot snapshot(shard_number shard);
    /// Counter of the last commit that the owner has applied; only for tasks
    /// on its thread.
    std::uint64_t applied_counter() const { return applied_counter_; }
    owner_figures figures() const;

private:
    void run();
    void execute(owner_effect& effect);
    void send(model_effect const& effect);
    void send(plain_effect const& effect);
    void release(release_effect const& effect);
    attempt_hooks hooks_for(attempt_id attempt) const;
    target_config const* target(target_name const& name) const;
    /// The last check before a send that must not come from a stale owner.
    std::optional<refusal> last_check() const;
    void fail(attempt_id attempt, refusal const& why);

    owner_duty_options options_;
    owner_duty_hooks hooks_;
    target_client& targets_;
    metrics& counters_;
    journal_duty* journal_ = nullptr;
    program_owner owner_;
    std::shared_ptr<configuration const> config_;
    std::uint64_t applied_counter_ = 0;
    time_point last_round_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> programs_{0};
    std::atomic<std::size_t> calls_{0};
    std::atomic<std::size_t> in_flight_{0};
    /// Shared with the hooks of attempts, which may outlive the duty.
    std::shared_ptr<bounded_ring<task>> ring_;
    std::thread thread_;
};

} // namespace walnutmill

#endif
