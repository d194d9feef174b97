#ifndef WALNUTMILL_SRC_ROUTING_HPP
#define WALNUTMILL_SRC_ROUTING_HPP

/// \file
/// The node's view of who owns what, as last read from the table. It may be
/// old: whoever is asked on its account checks for itself.

#include "session.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace walnutmill
{

/// One reading of the rows of sessions and shards.
struct ownership_view
{
    std::vector<session_state> sessions;
    /// By number; shards without a row have no owner.
    std::vector<shard_state> shards;

    /// \return nullptr for an unknown session.
    session_state const* find_session(session_id const& id) const
    {
        for (auto const& session : sessions)
        {
            if (session.id == id)
                return &session;
        }
        return nullptr;
    }
    /// \return the owner's session; nullptr when nobody is known to own it.
    session_state const* owner_of(shard_number shard) const
    {
        if (shard >= shards.size() || shards[shard].owner.empty())
            return nullptr;
        return find_session(shards[shard].owner);
    }
};

/// The current view, shared between threads.
class routing
{
public:
    std::shared_ptr<ownership_view const> get() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return view_;
    }
    void set(std::shared_ptr<ownership_view const> view)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        view_ = std::move(view);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<ownership_view const> view_ =
        std::make_shared<ownership_view>();
};

} // namespace walnutmill

#endif
