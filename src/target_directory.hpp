#ifndef WALNUTMILL_TARGET_DIRECTORY_HPP
#define WALNUTMILL_TARGET_DIRECTORY_HPP

/// \file
/// All targets of one node's placement, their pools and the calls under way,
/// kept up to date by events.

#include "target_pool.hpp"

#include <memory>
#include <unordered_map>

namespace walnutmill
{

class target_directory
{
public:
    explicit target_directory(placement_options const& options);

    void set_pool(placement_pool config);
    void erase_pool(service_name const& service);
    void on_report(target_view const& view, time_point now);
    void set_peer_ratio(double ratio);
    void erase_target(target_name const& name);

    sent_ticket on_sent(sent_call const& call, time_point now);
    void on_first_token(sent_ticket ticket, time_point now);
    void on_done(sent_ticket ticket, std::uint32_t tokens, time_point now);
    void on_failed(sent_ticket ticket, time_point now);
    void on_canceled(sent_ticket ticket);

    /// \return nullptr when it is not known.
    target_pool* pool_of(service_name const& service) const;
    pooled_target* find(target_name const& name) const;
    /// Calls at the target, as estimated.
    double load_of(target_state const& target) const;
    bool has_room(target_state const& target) const;
    bool takes_home_call(target_state const& target) const;

private:
    /// A call taken out of the books, and where it was.
    struct ended_flight
    {
        pooled_target* target = nullptr;
        flight call;
    };

    pooled_target& entry_of(target_name const& name);
    void refresh(pooled_target& target) const;
    ended_flight take(sent_ticket ticket);
    double
    log_ratio(flight const& call, std::uint32_t tokens, time_point now) const;
    void judge(pooled_target& target, time_point now) const;

    placement_options const& options_;
    double peer_ratio_ = 0.0;
    std::unordered_map<target_name, std::unique_ptr<pooled_target>> targets_;
    std::unordered_map<service_name, std::unique_ptr<target_pool>> pools_;
    std::unordered_map<sent_ticket, pooled_target*> flights_;
    sent_ticket last_ticket_ = 0;
};

} // namespace walnutmill

#endif
