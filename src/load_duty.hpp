#ifndef WALNUTMILL_SRC_LOAD_DUTY_HPP
#define WALNUTMILL_SRC_LOAD_DUTY_HPP

/// \file
/// The thread that asks engines for their load, one after another.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>

#include "policy_scheduling.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace walnutmill
{

struct load_duty_hooks
{
    std::function<std::shared_ptr<configuration const>()> current;
    std::function<void(target_load const&)> report;
};

/// Asks at a bounded rate, whatever the number of engines, and each engine at
/// most once in `period`.
class load_duty
{
public:
    load_duty(duration period, load_duty_hooks hooks);
    ~load_duty();
    load_duty(load_duty const&) = delete;
    load_duty& operator=(load_duty const&) = delete;

private:
    void run();
    void ask(target_config const& target) const;
    bool pause(duration time);

    duration period_;
    load_duty_hooks hooks_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace walnutmill

#endif
