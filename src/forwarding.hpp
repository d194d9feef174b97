#ifndef WALNUTMILL_SRC_FORWARDING_HPP
#define WALNUTMILL_SRC_FORWARDING_HPP

/// \file
/// Brings a caller's request to the owner of its program: to this node's own
/// owner, or over one link to another node. While ownership changes hands it
/// tries again for a bounded time, which is safe because the owner knows a
/// request by its id.

#include <walnutmill/clock.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/peer_hub.hpp>

#include "caller_types.hpp"
#include "owner_duty.hpp"
#include "routing.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace walnutmill
{

struct forwarding_options
{
    session_id self;
    std::uint32_t shards = 0;
    clock_fn clock;
    /// How long a request looks for an owner before it is refused.
    duration patience{0};
};

/// Thread-safe.
class forwarding
{
public:
    forwarding(
        forwarding_options options, routing const& routes, owner_duty& owner,
        peer_hub& peers, metrics& counters);
    ~forwarding();
    forwarding(forwarding const&) = delete;
    forwarding& operator=(forwarding const&) = delete;

    /// Takes a request from a caller of this node.
    void submit(caller_request request, answer_sink sink);
    /// Takes a request that another node forwarded.
    void serve(std::string_view body, peer_responder const& responder);

private:
    struct journey
    {
        caller_request request;
        answer_sink sink;
        time_point until;
        /// An attempt may have reached an owner.
        bool may_have_run = false;
        /// Id of the last event that the caller was given.
        std::uint64_t last_event = 0;
    };
    using journey_ptr = std::shared_ptr<journey>;

    static void pass_event(journey& trip, stream_event const& event);
    void route(journey_ptr const& trip);
    void send(journey_ptr const& trip, std::string const& address);
    void take_reply(journey_ptr const& trip, result<std::string> const& reply);
    void finish(journey_ptr const& trip, caller_result const& result);
    void try_later(journey_ptr const& trip, refusal const& why);
    void run_timer();

    forwarding_options options_;
    routing const& routes_;
    owner_duty& owner_;
    peer_hub& peers_;
    metrics& counters_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::multimap<time_point, journey_ptr> later_;
    std::thread timer_;
};

} // namespace walnutmill

#endif
