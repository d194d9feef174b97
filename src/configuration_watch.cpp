#include "configuration_watch.hpp"

#include <walnutmill/logging.hpp>

namespace walnutmill
{

configuration_watch::configuration_watch(
    duration period, configuration_watch_hooks hooks)
    : period_(period), hooks_(std::move(hooks)),
      current_(std::make_shared<configuration>()), thread_([this] { run(); })
{
}

configuration_watch::~configuration_watch()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    thread_.join();
}

void configuration_watch::poke()
{
    std::lock_guard<std::mutex> lock(mutex_);
    poked_ = true;
    wake_.notify_all();
}

std::shared_ptr<configuration const> configuration_watch::current() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

void configuration_watch::run()
{
    for (;;)
    {
        round();
        std::unique_lock<std::mutex> lock(mutex_);
        wake_.wait_for(lock, period_, [this] { return poked_ || stopping_; });
        poked_ = false;
        if (stopping_)
            return;
    }
}

void configuration_watch::round()
{
    auto const read = hooks_.read();
    if (!read || !read.value())
        return;
    auto const& next = read.value();
    {
        std::lock_guard<std::mutex> lock(mutex_);
        // A late answer of the platform must not bring an old version back.
        if (next->version <= current_->version)
            return;
        current_ = next;
    }
    write_log(
        severity::info, "configuration", "applied a version",
        {{"version", std::to_string(next->version)}});
    hooks_.apply(next);
}

} // namespace walnutmill
