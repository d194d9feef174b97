#ifndef WALNUTMILL_SRC_ENTRY_ENGINE_LINKS_HPP
#define WALNUTMILL_SRC_ENTRY_ENGINE_LINKS_HPP

/// \file
/// Connections to engines, kept for the next call, within this node's part of
/// what an engine takes from all nodes.

#include <walnutmill/routing_table.hpp>

#include "entry/http_link.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

class engine_links
{
public:
    using link_ptr = std::shared_ptr<http_link>;

    explicit engine_links(boost::asio::io_context& io);
    ~engine_links();
    engine_links(engine_links const&) = delete;
    engine_links& operator=(engine_links const&) = delete;

    /// \return a kept connection, a new one, or null where this node already
    /// has its part of the engine's connections in use.
    /// \param limit connections this node may have to the engine
    link_ptr take(
        engine_ref const& engine, std::string const& address,
        std::uint32_t limit);

    /// The exchange is over: keeps the connection if it can be used again.
    void give_back(engine_ref const& engine, link_ptr const& link);

    /// \return true where a kept connection to the engine is free.
    bool has_idle(target_name const& engine) const;

    /// Ends the idle connections to an engine: they may be as silent as one
    /// that just turned out to be.
    void drop_idle(target_name const& engine);

    /// Ends all connections to the engine's former incarnations. Calls on them
    /// end as broken off, rather than with their callers' patience: an engine
    /// that crashed behind a partition never resets its connections.
    void restarted(target_name const& engine);

    /// Ends all connections and drops what waits on them without a word: the
    /// node has stopped. A call and its connection hold each other, so that
    /// those cut by the stop would outlive the node.
    void end_all();

    /// Ends the idle connections to engines that are gone, and those that
    /// have been idle for long.
    void sweep(std::function<bool(target_name const&)> const& still_registered);

private:
    struct engine_conns
    {
        std::optional<engine_incarnation> incarnation;
        std::vector<link_ptr> idle;
        std::vector<link_ptr> in_use;
    };

    boost::asio::io_context& io_;
    std::unordered_map<target_name, engine_conns> engines_;
};

} // namespace walnutmill

#endif
