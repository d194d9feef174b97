/// \file
/// Connects the calls of an entry node to the origins of streams and to the
/// register of engine versions.

#include "entry/entry_node.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace walnutmill
{

origin_exchange::hooks entry_node::origin_hooks()
{
    origin_exchange::hooks to;
    to.send = [this](std::string const& address, std::string const& bytes)
    { loads_.send_other_datagram(address, bytes); };
    to.schedule_after = [this](duration after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
    return to;
}

version_register::hooks entry_node::version_hooks()
{
    version_register::hooks to;
    to.on_several_versions = [this](service_name const& service)
    {
        log_.write(
            log_priority::routine, "versions.several",
            {{"service", service.str()}});
        origins_.publish(service);
    };
    to.on_registered = [this](
                           service_name const& service,
                           std::vector<registered_version> const& versions)
    {
        auto names = nlohmann::json::array();
        for (auto const& one : versions)
            names.push_back(one.version);
        log_.write(
            log_priority::routine, "versions.registered",
            {{"service", service.str()}, {"versions", names}});
    };
    return to;
}

void entry_node::connect_streams()
{
    services_.origins = &origins_;
    services_.versions = &versions_;
    balancer_.may_begin_stream =
        [this](service_name const& service, std::string const& version)
    { return versions_.may_begin(service, version); };
}

/// Registers the versions of the engines that resumable streams may reach.
void entry_node::register_versions()
{
    if (!services_.table || !engines_)
        return;
    std::set<service_name> services;
    for (auto const& route : services_.table->routes)
    {
        if (!route.streams || !route.resumable)
            continue;
        for (auto const& share : route.shares)
            services.insert(share.service);
    }
    std::vector<engine_entry> engines;
    std::copy_if(
        engines_->begin(), engines_->end(), std::back_inserter(engines),
        [&services](engine_entry const& one)
        { return services.count(one.service) > 0; });
    versions_.set_engines(engines);
}

} // namespace walnutmill
