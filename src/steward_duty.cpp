#include "steward_duty.hpp"

#include <walnutmill/hash.hpp>

namespace walnutmill
{

steward_duty::steward_duty(
    steward_options options, steward_hooks hooks, metrics& counters)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      counters_(counters), status_(steward_threads)
{
    for (std::size_t i = 0; i < steward_threads; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

steward_duty::~steward_duty()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    for (auto& thread : threads_)
        thread.join();
}

void steward_duty::run(std::size_t thread)
{
    steward_worker worker(options_, hooks_, counters_);
    time_point next;
    do
    {
        worker.assign(share_of(thread));
        next = worker.round();
        std::lock_guard<std::mutex> lock(mutex_);
        status_[thread] = worker.status();
    } while (wait_until(next));
}

bool steward_duty::wait_until(time_point when)
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const pause = std::max(when - options_.clock(), duration(0));
    return !wake_.wait_for(lock, pause, [this] { return stopping_; });
}

std::vector<stewarded_target> steward_duty::share_of(std::size_t thread) const
{
    std::vector<stewarded_target> share;
    for (auto& target : hooks_.stewarded())
    {
        auto const place = stable_hash(target.config.name.str());
        if (place % steward_threads == thread)
            share.push_back(std::move(target));
    }
    return share;
}

result_table steward_duty::target_rows() const
{
    result_table table{
        {"name", "state", "step", "models", "adapters", "role", "running",
         "holds", "steward", "age"},
        {}};
    auto const text = [](std::vector<std::string> const& names)
    {
        std::string joined;
        for (auto const& name : names)
            joined += (joined.empty() ? "" : ",") + name;
        return joined;
    };
    auto const now = options_.clock();
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto const& share : status_)
    {
        for (auto const& one : share)
        {
            auto const& seen = one.observed;
            table.rows.push_back(
                {one.target.str(), std::string(to_string(one.state)),
                 one.reason, text(seen.models), text(seen.adapters), seen.role,
                 static_cast<double>(seen.running),
                 static_cast<double>(seen.holds), options_.node.str(),
                 now - one.read_at});
        }
    }
    return table;
}

} // namespace walnutmill
