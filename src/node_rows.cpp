#include "node_rows.hpp"

#include <algorithm>
#include <map>

namespace walnutmill
{
namespace
{

/// Fills rows by column name; columns that are not named stay empty.
class row_builder
{
public:
    explicit row_builder(table_kind kind) : table_{columns_of(kind), {}} {}

    row_builder& start()
    {
        table_.rows.emplace_back(table_.columns.size());
        return *this;
    }
    row_builder& set(std::string_view column, cell value)
    {
        auto const& columns = table_.columns;
        auto const at = std::find(columns.begin(), columns.end(), column);
        if (at != columns.end())
            table_.rows.back()[std::size_t(at - columns.begin())] =
                std::move(value);
        return *this;
    }
    result_table take() { return std::move(table_); }

private:
    result_table table_;
};

cell number(std::uint64_t value)
{
    return static_cast<double>(value);
}

std::string state_of(session_state const& session)
{
    if (session.fenced)
        return "fenced";
    return session.leaving ? "leaving" : "serving";
}

member_info const*
find_member(std::vector<member_info> const& members, session_id const& session)
{
    for (auto const& member : members)
    {
        if (member.session == session)
            return &member;
    }
    return nullptr;
}

} // namespace

result_table
program_rows(node_name const& node, std::vector<program_status> const& programs)
{
    row_builder rows(table_kind::programs);
    for (auto const& one : programs)
    {
        auto const& view = one.view;
        rows.start()
            .set("program", view.program.str())
            .set("root", view.root.str())
            .set("workspace", view.workspace.str())
            .set("node", node.str())
            .set("state", std::string(view.ended ? "ended" : "running"))
            .set("budget", number(view.budget))
            .set("spent", number(view.spent))
            .set("reserved", number(view.reserved))
            .set("calls", number(view.calls));
        if (one.waiting_for.empty())
            continue;
        rows.set("waiting_for", one.waiting_for).set("waited", one.waited);
        if (!one.target.empty())
            rows.set("target", one.target.str());
    }
    return rows.take();
}

result_table hold_rows(std::vector<program_status> const& programs)
{
    row_builder rows(table_kind::holds);
    for (auto const& one : programs)
    {
        for (auto const& target : one.holds)
        {
            rows.start()
                .set("target", target.str())
                .set("program", one.view.program.str())
                .set("workspace", one.view.workspace.str())
                .set(
                    "reason", std::string(
                                  one.view.ended ? "release not confirmed"
                                                 : "program under way"));
        }
    }
    return rows.take();
}

result_table
node_rows(ownership_view const& view, std::vector<member_info> const& members)
{
    row_builder rows(table_kind::nodes);
    for (auto const& session : view.sessions)
    {
        auto const shards = std::count_if(
            view.shards.begin(), view.shards.end(),
            [&](shard_state const& shard)
            { return shard.owner == session.id; });
        rows.start()
            .set("name", session.node.str())
            .set("zone", session.zone.str())
            .set("state", state_of(session))
            .set("address", session.http_address)
            .set("version", number(session.configuration))
            .set("shards", number(std::uint64_t(shards)));
        auto const* member = find_member(members, session.id);
        if (member == nullptr)
            continue;
        rows.set("programs", number(member->load.programs))
            .set("queued", number(member->load.queued))
            .set("running", number(member->load.running));
    }
    return rows.take();
}

result_table machine_rows(ownership_view const& view)
{
    row_builder rows(table_kind::machines);
    for (auto const& session : view.sessions)
    {
        auto const address = session.http_address;
        rows.start()
            .set("name", session.node.str())
            .set("address", address.substr(0, address.rfind(':')))
            .set("state", state_of(session));
    }
    return rows.take();
}

result_table live_zone_rows(ownership_view const& view)
{
    std::map<zone_name, std::uint64_t> nodes;
    for (auto const& session : view.sessions)
        nodes[session.zone] += session.fenced ? 0 : 1;
    row_builder rows(table_kind::zones);
    for (auto const& entry : nodes)
    {
        rows.start()
            .set("name", entry.first.str())
            .set("nodes", number(entry.second));
    }
    return rows.take();
}

result_table link_rows(
    node_name const& node, std::uint64_t bytes_sent,
    std::uint64_t bytes_received)
{
    row_builder rows(table_kind::links);
    rows.start()
        .set("from", node.str())
        .set("to", std::string("all"))
        .set("sent", number(bytes_sent))
        .set("received", number(bytes_received));
    return rows.take();
}

} // namespace walnutmill
