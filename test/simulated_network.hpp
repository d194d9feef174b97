#ifndef WALNUTMILL_TEST_SIMULATED_NETWORK_HPP
#define WALNUTMILL_TEST_SIMULATED_NETWORK_HPP

/// \file
/// Machines with links and processors of limited speed, on a clock that the
/// test advances. Transfers share a link evenly, and a processor runs one
/// handler after the other.

#include <walnutmill/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace walnutmill
{
namespace testing
{

class simulated_network
{
public:
    struct machine
    {
        /// Of its link, in each direction.
        double bytes_per_s = 0;
        /// Share of a core.
        double cores = 1;
    };
    using machine_id = std::size_t;
    using transfer_id = std::uint64_t;
    using action = std::function<void()>;

    simulated_network();

    machine_id add(machine one);
    time_point now() const { return clock_.now(); }
    clock_fn clock() const { return clock_.fn(); }

    void run_for(duration span);
    /// Calls a function after a delay.
    void after(duration delay, action what);
    /// Calls a function on a machine's processor, once that has run what came
    /// before and then this cost.
    /// \param cost time on a whole core
    void compute(machine_id on, duration cost, action what);
    /// \return when the machine's processor will have run all it has to
    time_point busy_until(machine_id on) const;

    /// Sends bytes from one machine to another.
    transfer_id
    send(machine_id from, machine_id to, std::size_t bytes, action delivered);
    /// \return true from the first byte that arrives until the last
    bool in_progress(transfer_id which) const
    {
        return transfers_.count(which) > 0;
    }
    /// Ends a transfer before its delivery.
    /// \return the bytes that have arrived; 0 if it is not in progress
    std::size_t cancel(transfer_id which);

private:
    struct transfer
    {
        machine_id from = 0;
        machine_id to = 0;
        double size = 0;
        double left = 0;
        double bytes_per_s = 0;
        action delivered;
    };
    struct state
    {
        machine is;
        time_point busy_until{};
        std::size_t outgoing = 0;
        std::size_t incoming = 0;
    };

    void begin(transfer_id id, transfer one);
    void end(transfer_id id);
    /// Moves the bytes of all transfers up to now.
    void advance_transfers();
    void share_links();
    void deliver_finished();

    manual_clock clock_;
    std::multimap<time_point, action> events_;
    std::vector<state> machines_;
    std::map<transfer_id, transfer> transfers_;
    transfer_id last_transfer_ = 0;
    time_point advanced_at_{};
    /// Number of the delivery event that is in force.
    std::uint64_t delivery_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif
