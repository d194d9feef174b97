#ifndef WALNUTMILL_SRC_OPERATOR_BACKEND_HPP
#define WALNUTMILL_SRC_OPERATOR_BACKEND_HPP

/// \file
/// What a node lends to operators' statements and to its stewards.

#include <walnutmill/config_store.hpp>
#include <walnutmill/operate.hpp>

#include "forwarding.hpp"
#include "gossip_duty.hpp"
#include "peer_questions.hpp"

#include <functional>
#include <memory>

namespace walnutmill
{

/// Parts of the node; all must outlive the hooks made here.
struct backend_parts
{
    session_id self;
    std::uint32_t shards = 0;
    clock_fn clock;
    table_service table;
    config_store const& store;
    std::function<std::shared_ptr<configuration const>()> in_force;
    /// A change was made here: have it read at once.
    std::function<void()> changed;
    routing const& routes;
    journal_duty& journal;
    forwarding& forward;
    gossip_duty const& gossip;
    peer_questions& questions;
    /// Rows of this node's stewards.
    std::function<result_table()> steward_rows;
};

operate_hooks make_operate_hooks(backend_parts const& parts);
steward_hooks make_steward_hooks(backend_parts const& parts);

/// \return the engines whose shard `self` owns, with its epoch.
std::vector<stewarded_target> stewarded_by(
    session_id const& self, configuration const& config,
    ownership_view const& view, std::uint32_t shards);

/// \return the acknowledgements in the sessions' rows as last read.
std::vector<configuration_ack> acks_of(ownership_view const& view);

} // namespace walnutmill

#endif
