#include <walnutmill/routing_table.hpp>

#include <algorithm>

namespace walnutmill
{

void routing_table::seal()
{
    std::stable_sort(
        routes.begin(), routes.end(),
        [](route const& a, route const& b)
        {
            return a.host != b.host ? a.host < b.host
                                    : a.prefix.size() > b.prefix.size();
        });
}

route const*
routing_table::match(std::string_view host, std::string_view path) const
{
    auto const first = std::lower_bound(
        routes.begin(), routes.end(), host,
        [](route const& one, std::string_view wanted)
        { return one.host < wanted; });
    for (auto it = first; it != routes.end() && it->host == host; ++it)
    {
        if (path.substr(0, it->prefix.size()) == it->prefix)
            return &*it;
    }
    return nullptr;
}

service const* routing_table::find_service(service_name const& name) const
{
    auto const found = std::find_if(
        services.begin(), services.end(),
        [&](service const& one) { return one.name == name; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace walnutmill
