#ifndef WALNUTMILL_SRC_ENTRY_ENGINE_LINKS_HPP
#define WALNUTMILL_SRC_ENTRY_ENGINE_LINKS_HPP

/// \file
/// Pools of persistent connections to engines, limited to this node's share of
/// the connections that an engine accepts from all nodes.

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

/// Connection pools of one node, one for each engine.
class engine_links
{
public:
    using link_ptr = std::shared_ptr<http_link>;

    explicit engine_links(boost::asio::io_context& io);
    ~engine_links();
    engine_links(engine_links const&) = delete;
    engine_links& operator=(engine_links const&) = delete;

    /// \return an idle connection, a new one, or null if the address is invalid
    /// or this node already uses its share of the engine's connections.
    /// \param limit connections this node may have to the engine
    link_ptr acquire_link(
        engine_ref const& engine, std::string const& address,
        std::uint32_t limit);

    /// Returns a connection after its exchange; keeps it if it is reusable and
    /// closes it otherwise.
    void release_link(engine_ref const& engine, link_ptr const& link);

    /// \return true if a usable idle connection to the engine exists.
    bool has_idle(target_name const& engine) const;

    /// Opens a connection and closes it again.
    /// \param done whether the connection was accepted; called once
    void
    check_listening(std::string const& address, std::function<void(bool)> done);

    /// Closes the idle connections to an engine. Called after one connection
    /// stopped responding, since the others may have failed with it.
    void close_idle(target_name const& engine);

    /// Closes all connections to the engine's former incarnations. Calls on
    /// them end as broken at once instead of waiting for the callers' timeouts,
    /// because an engine that crashed behind a partition never resets its
    /// connections.
    void close_former_incarnations(target_name const& engine);

    /// Closes all connections without calling their handlers, when the node has
    /// stopped. A call and its connection own each other, so interrupted calls
    /// would otherwise outlive the node.
    void close_all();

    /// Closes the idle connections to engines that are no longer registered,
    /// and those that exceed their idle timeout.
    void sweep(std::function<bool(target_name const&)> const& still_registered);

private:
    struct engine_pool
    {
        std::optional<engine_incarnation> incarnation;
        std::vector<link_ptr> idle;
        std::vector<link_ptr> in_use;
    };

    boost::asio::io_context& io_;
    std::unordered_map<target_name, engine_pool> engines_;
};

} // namespace walnutmill

#endif
