#ifndef WALNUTMILL_SRC_JOURNAL_DUTY_HPP
#define WALNUTMILL_SRC_JOURNAL_DUTY_HPP

/// \file
/// The thread that commits: the journal of one session against the table.

#include <walnutmill/clock.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/platform.hpp>

#include "bounded_ring.hpp"
#include "journal.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace walnutmill
{

/// One append of the owner that is committed now.
struct committed_append
{
    std::uint64_t token = 0;
    /// Counter of the commit that carried it.
    std::uint64_t counter = 0;
};

struct journal_duty_options
{
    /// Least time between two commits; a commit after a longer pause goes out
    /// at once.
    duration flush_interval{0};
    /// Longest time without a commit: the heartbeat of an idle session.
    duration beat_interval{0};
    /// How long a commit vouches for the session.
    duration lease{0};
    clock_fn clock;
};

/// Called on the duty's thread.
struct journal_duty_hooks
{
    std::function<void(std::vector<committed_append>)> committed;
    std::function<void()> fenced;
};

enum class exclusive_status
{
    committed,
    refused,
    /// The session is fenced or the duty has stopped; whether it took effect
    /// is not known.
    lost
};

/// Runs a journal. Thread-safe.
class journal_duty
{
public:
    journal_duty(
        table_service table, session_state opened, journal_duty_options options,
        journal_duty_hooks hooks, metrics& counters);
    /// Stops after the commit under way, leaving the rest uncommitted.
    ~journal_duty();
    journal_duty(journal_duty const&) = delete;
    journal_duty& operator=(journal_duty const&) = delete;

    void append(std::uint64_t token, std::vector<journal_record> records);
    std::future<exclusive_status> exclusive(exclusive_commit work);
    void erase_rows(std::vector<std::string> keys);
    void set_configuration(std::uint64_t version);
    void set_leaving();
    /// Whether a commit that began less than a lease ago succeeded, so that
    /// the session was not fenced then.
    bool fresh() const;
    bool fenced() const { return fenced_.load(); }
    /// Counter of the last commit.
    std::uint64_t counter() const { return counter_.load(); }
    /// Appends that are not committed yet.
    std::size_t backlog() const { return backlog_.load(); }

private:
    using task = std::function<void(journal&)>;

    void run();
    void step(journal& log);
    void report(std::vector<ticket_result> const& results);
    void resolve(journal& log);
    void fence();
    void wait_after_failure();
    duration time_to_wait(journal const& log) const;

    table_service table_;
    journal_duty_options options_;
    journal_duty_hooks hooks_;
    metrics& counters_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> fenced_{false};
    std::atomic<std::size_t> backlog_{0};
    std::atomic<duration::rep> vouched_{0};
    std::atomic<std::uint64_t> counter_{0};
    time_point last_commit_;
    int failures_ = 0;
    std::map<ticket, std::uint64_t> tokens_;
    std::map<ticket, std::shared_ptr<std::promise<exclusive_status>>> promises_;
    bounded_ring<task> ring_;
    session_state opened_;
    std::thread thread_;
};

} // namespace walnutmill

#endif
