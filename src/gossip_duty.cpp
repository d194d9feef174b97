#include "gossip_duty.hpp"

#include <walnutmill/random.hpp>

#include <utility>

namespace walnutmill
{

gossip_duty::gossip_duty(
    gossip_duty_options options, member_info const& self,
    gossip_duty_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      membership_(
          options_.membership, self, seeded_random(options_.random_seed)),
      thread_([this] { run(); })
{
}

gossip_duty::~gossip_duty()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    thread_.join();
}

void gossip_duty::receive(std::string_view bytes)
{
    std::vector<gossip_message> messages;
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        before = membership_.head_version();
        messages = membership_.receive(bytes, options_.clock());
        after = membership_.head_version();
    }
    send_all(std::move(messages));
    if (after > before)
        hooks_.on_head(after);
}

void gossip_duty::note_head(std::uint64_t version)
{
    std::vector<gossip_message> messages;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        messages = membership_.note_head(version);
    }
    send_all(std::move(messages));
}

void gossip_duty::mark_fenced(session_id const& session)
{
    std::lock_guard<std::mutex> lock(mutex_);
    membership_.mark_fenced(session, options_.clock());
}

std::vector<member_info> gossip_duty::members() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return membership_.members();
}

void gossip_duty::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        lock.unlock();
        round();
        lock.lock();
        wake_.wait_for(lock, options_.interval, [this] { return stopping_; });
    }
}

void gossip_duty::round()
{
    auto const known = hooks_.known();
    auto const self = hooks_.self();
    std::vector<gossip_message> messages;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const now = options_.clock();
        membership_.seed(known, now);
        membership_.update_self(self);
        messages = membership_.tick(now);
    }
    send_all(std::move(messages));
}

void gossip_duty::send_all(std::vector<gossip_message> messages) const
{
    for (auto& one : messages)
        hooks_.send(one.address, std::move(one.bytes));
}

} // namespace walnutmill
