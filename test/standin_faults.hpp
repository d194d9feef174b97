#ifndef WALNUTMILL_TEST_STANDIN_FAULTS_HPP
#define WALNUTMILL_TEST_STANDIN_FAULTS_HPP

/// \file
/// What every stand-in shares: fault switches and the ledger of what truly
/// happened. Both are thread-safe.

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace walnutmill::standin
{

/// The switches of docs/PLATFORM.md; zero and false mean no fault.
struct fault_switches
{
    std::int64_t drop_answers = 0;
    std::int64_t refuse = 0;
    std::int64_t stall_ms = 0;
    bool hang = false;
    bool ignore_fencing = false;
    std::int64_t event_delay_ms = 0;
    std::int64_t event_gap = 0;
    std::int64_t load_lag_ms = 0;
    double slowdown = 1.0;
    bool forget_holds = false;
};

/// The switches of one stand-in.
class faults
{
public:
    /// Sets the switches that are named; others stay.
    void set(nlohmann::json const& wanted);
    nlohmann::json to_json() const;
    fault_switches now() const;
    /// Uses up one refusal. \return whether this request is to be refused.
    bool take_refusal();
    /// Uses up one lost answer. \return whether this answer is to get lost.
    bool take_lost_answer();

private:
    mutable std::mutex mutex_;
    fault_switches switches_;
};

/// What happened, in order, with the time in microseconds of the machine's
/// monotonic clock (the same for all processes of one machine).
class ledger
{
public:
    explicit ledger(std::string name);

    /// Adds an entry of that kind; an object's fields become its fields.
    void add(std::string_view kind, nlohmann::json fields);
    void count(std::string const& counter, std::int64_t by = 1);
    /// \return {"name","entries","counters"}, entries from number `after`+1.
    std::string to_text(std::uint64_t after) const;

private:
    std::string name_;
    mutable std::mutex mutex_;
    std::uint64_t next_ = 1;
    std::vector<nlohmann::json> entries_;
    std::map<std::string, std::int64_t> counters_;
};

/// \return microseconds of the monotonic clock.
std::int64_t monotonic_us();

} // namespace walnutmill::standin

#endif
