#include "simulated_network.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

constexpr std::chrono::milliseconds one_way{1};
constexpr double us_per_s = 1e6;
/// Less than a byte is left of a delivered transfer.
constexpr double delivered_bytes = 0.5;

} // namespace

simulated_network::simulated_network()
{
    clock_.advance(std::chrono::seconds(1'000));
}

simulated_network::machine_id simulated_network::add(machine one)
{
    machines_.push_back({one, {}, 0, 0});
    return machines_.size() - 1;
}

void simulated_network::run_for(duration span)
{
    auto const end = now() + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const first = events_.begin();
        clock_.advance(std::max(first->first - now(), duration(0)));
        auto const what = std::move(first->second);
        events_.erase(first);
        what();
    }
    clock_.advance(end - now());
}

void simulated_network::after(duration delay, action what)
{
    events_.emplace(now() + delay, std::move(what));
}

void simulated_network::compute(machine_id on, duration cost, action what)
{
    auto& machine = machines_[on];
    auto const took = duration(static_cast<duration::rep>(
        static_cast<double>(cost.count()) / machine.is.cores));
    machine.busy_until = std::max(machine.busy_until, now()) + took;
    events_.emplace(machine.busy_until, std::move(what));
}

time_point simulated_network::busy_until(machine_id on) const
{
    return std::max(machines_[on].busy_until, now());
}

simulated_network::transfer_id simulated_network::send(
    machine_id from, machine_id to, std::size_t bytes, action delivered)
{
    auto const id = ++last_transfer_;
    auto const size = static_cast<double>(std::max<std::size_t>(bytes, 1));
    after(
        one_way, [this, id,
                  one = transfer{from, to, size, size, 0, std::move(delivered)}]
        { begin(id, one); });
    return id;
}

std::size_t simulated_network::cancel(transfer_id which)
{
    advance_transfers();
    auto const found = transfers_.find(which);
    if (found == transfers_.end())
        return 0;
    auto const arrived =
        static_cast<std::size_t>(found->second.size - found->second.left);
    end(which);
    share_links();
    return arrived;
}

void simulated_network::begin(transfer_id id, transfer one)
{
    advance_transfers();
    ++machines_[one.from].outgoing;
    ++machines_[one.to].incoming;
    transfers_.emplace(id, std::move(one));
    share_links();
}

void simulated_network::end(transfer_id id)
{
    auto const found = transfers_.find(id);
    --machines_[found->second.from].outgoing;
    --machines_[found->second.to].incoming;
    transfers_.erase(found);
}

void simulated_network::advance_transfers()
{
    auto const passed =
        static_cast<double>((now() - advanced_at_).count()) / us_per_s;
    for (auto& [id, one] : transfers_)
        one.left = std::max(one.left - passed * one.bytes_per_s, 0.0);
    advanced_at_ = now();
}

void simulated_network::share_links()
{
    auto const share = [](double bytes_per_s, std::size_t transfers)
    { return bytes_per_s / static_cast<double>(transfers); };
    auto next = duration::max();
    for (auto& [id, one] : transfers_)
    {
        auto const& from = machines_[one.from];
        auto const& to = machines_[one.to];
        one.bytes_per_s = std::min(
            share(from.is.bytes_per_s, from.outgoing),
            share(to.is.bytes_per_s, to.incoming));
        next = std::min(
            next, duration(static_cast<duration::rep>(
                      std::ceil(one.left / one.bytes_per_s * us_per_s))));
    }
    if (next == duration::max())
        return;
    after(
        next,
        [this, delivery = ++delivery_]
        {
            if (delivery == delivery_)
                deliver_finished();
        });
}

void simulated_network::deliver_finished()
{
    advance_transfers();
    std::vector<action> finished;
    std::vector<transfer_id> ended;
    for (auto& [id, one] : transfers_)
    {
        if (one.left < delivered_bytes)
        {
            finished.push_back(std::move(one.delivered));
            ended.push_back(id);
        }
    }
    for (auto const id : ended)
        end(id);
    share_links();
    for (auto const& delivered : finished)
        delivered();
}

} // namespace testing
} // namespace walnutmill
