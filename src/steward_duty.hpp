#ifndef WALNUTMILL_SRC_STEWARD_DUTY_HPP
#define WALNUTMILL_SRC_STEWARD_DUTY_HPP

/// \file
/// The threads that run the stewards of this node's targets.

#include <walnutmill/query.hpp>

#include "steward_worker.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace walnutmill
{

/// Threads of the duty: calls to targets block, and one that does not answer
/// holds up only those that share its thread.
constexpr std::size_t steward_threads = 4;

/// Runs from its making to its end. Thread-safe.
class steward_duty
{
public:
    steward_duty(
        steward_options options, steward_hooks hooks, metrics& counters);
    /// Waits for the calls under way.
    ~steward_duty();
    steward_duty(steward_duty const&) = delete;
    steward_duty& operator=(steward_duty const&) = delete;

    /// \return the rows of this node's targets for `show targets`.
    result_table target_rows() const;

private:
    void run(std::size_t thread);
    bool wait_until(time_point when);
    std::vector<stewarded_target> share_of(std::size_t thread) const;

    steward_options options_;
    steward_hooks hooks_;
    metrics& counters_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::vector<std::vector<steward_status>> status_;
    std::vector<std::thread> threads_;
};

} // namespace walnutmill

#endif
