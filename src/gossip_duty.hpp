#ifndef WALNUTMILL_SRC_GOSSIP_DUTY_HPP
#define WALNUTMILL_SRC_GOSSIP_DUTY_HPP

/// \file
/// The thread that gossips: rounds of membership over the links.

#include <walnutmill/clock.hpp>
#include <walnutmill/membership.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace walnutmill
{

/// Topic of the notes that carry gossip.
constexpr std::string_view gossip_topic = "gossip";

/// Called on this duty's thread or the caller's, never under its lock.
struct gossip_duty_hooks
{
    /// Sends a note with gossip_topic.
    std::function<void(std::string const& address, std::string bytes)> send;
    /// What has changed of this node, before each round.
    std::function<member_update()> self;
    /// Members as known from the table's session rows, before each round.
    std::function<std::vector<member_info>()> known;
    /// A version of the configuration higher than any before was heard of.
    std::function<void(std::uint64_t version)> on_head;
};

struct gossip_duty_options
{
    duration interval = std::chrono::milliseconds(500);
    clock_fn clock = monotonic_clock();
    membership_options membership;
    std::uint32_t random_seed = 1;
};

/// Thread-safe.
class gossip_duty
{
public:
    gossip_duty(
        gossip_duty_options options, member_info const& self,
        gossip_duty_hooks hooks);
    ~gossip_duty();
    gossip_duty(gossip_duty const&) = delete;
    gossip_duty& operator=(gossip_duty const&) = delete;

    /// Takes a note with gossip_topic.
    void receive(std::string_view bytes);
    /// Passes on a version that was read or made here.
    void note_head(std::uint64_t version);
    /// Learns that a session was fenced.
    void mark_fenced(session_id const& session);
    std::vector<member_info> members() const;

private:
    void run();
    void round();
    void send_all(std::vector<gossip_message> messages) const;

    gossip_duty_options options_;
    gossip_duty_hooks hooks_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    membership membership_;
    std::thread thread_;
};

} // namespace walnutmill

#endif
