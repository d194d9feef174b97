#include "load_duty.hpp"

#include "target_query.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// At most this many requests a second from one node: 0.2 % of a core at the
/// measured cost of a request.
constexpr duration least_pause = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds ask_timeout{500};

} // namespace

load_duty::load_duty(duration period, load_duty_hooks hooks)
    : period_(period), hooks_(std::move(hooks)), thread_([this] { run(); })
{
}

load_duty::~load_duty()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    thread_.join();
}

bool load_duty::pause(duration time)
{
    std::unique_lock<std::mutex> lock(mutex_);
    return !wake_.wait_for(lock, time, [this] { return stopping_; });
}

void load_duty::run()
{
    for (;;)
    {
        auto const config = hooks_.current();
        auto const count =
            std::max<std::size_t>(config->targets.size(), std::size_t(1));
        auto const step = std::max(period_ / int(count), least_pause);
        for (auto const& target : config->targets)
        {
            if (target.kind == target_kind::engine &&
                target.policy != target_policy::expunged)
                ask(target);
            if (!pause(step))
                return;
        }
        if (config->targets.empty() && !pause(period_))
            return;
    }
}

void load_duty::ask(target_config const& target) const
{
    auto load = query_load(target.address, ask_timeout);
    if (!load)
        return;
    load.value().target = target.name;
    hooks_.report(load.value());
}

} // namespace walnutmill
