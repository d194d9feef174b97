#include <walnutmill/configuration_draft.hpp>

#include "configuration_json.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

using nlohmann::json;

refusal refuse(errc code, std::string message, std::string field = "")
{
    refusal why;
    why.code = code;
    why.message = std::move(message);
    why.field = std::move(field);
    return why;
}

refusal refuse(findings const& problems)
{
    std::string text;
    for (auto const& one : problems.items())
        text += one.place + ": " + one.message + "\n";
    return refuse(
        errc::bad_request, std::move(text), problems.items().front().place);
}

char const* list_key(object_kind kind)
{
    switch (kind)
    {
    case object_kind::service:
        return "services";
    case object_kind::workspace:
        return "workspaces";
    case object_kind::target:
        return "targets";
    case object_kind::zone:
        return "zones";
    case object_kind::limits:
        break;
    }
    return "limits";
}

// An item with every key, from which the kind of each value is learnt.
json full_item(object_kind kind)
{
    configuration sample;
    target_config target;
    target.role = "r";
    target.policy_since = 1;
    sample.targets.push_back(target);
    service_config service;
    service.model = "m";
    sample.services.push_back(service);
    sample.workspaces.emplace_back();
    auto const all = detail::configuration_to_json(sample);
    auto const& part = all.at(list_key(kind));
    return kind == object_kind::limits ? part : part.at(0);
}

json list_of(std::string const& text)
{
    auto list = json::array();
    std::size_t from = 0;
    while (from < text.size())
    {
        auto const comma = std::min(text.find(',', from), text.size());
        list.push_back(text.substr(from, comma - from));
        from = comma + 1;
    }
    return list;
}

// What cannot be converted stays a text: the document's check then names it
// with its place. Unknown keys are found there, too.
json value_like(json const& sample, std::string const& text)
{
    if (sample.is_array())
        return list_of(text);
    if (sample.is_string())
        return text;
    auto const parsed = json::parse(text, nullptr, false);
    return parsed.is_number() || parsed.is_boolean() ? parsed : json(text);
}

result<void>
assign(json& item, object_kind kind, std::vector<assignment> const& values)
{
    auto const sample = full_item(kind);
    for (auto const& one : values)
    {
        if (one.key == "name" || one.key == "policy_since" ||
            one.key == "tokens")
            return refuse(
                errc::bad_request, one.key + " cannot be set here", one.key);
        item[one.key] = value_like(sample.value(one.key, json("")), one.value);
    }
    return boost::outcome_v2::success();
}

json* find_item(json& list, std::string const& name)
{
    auto const at = std::find_if(
        list.begin(), list.end(),
        [&](json const& item)
        {
            return item.is_object() ? item.value("name", "") == name
                                    : item == json(name);
        });
    return at == list.end() ? nullptr : &*at;
}

refusal unknown(object_kind kind, std::string const& name)
{
    return refuse(
        errc::not_found,
        "there is no " + std::string(to_string(kind)) + " " + name);
}

// Applies one order to the document as JSON.
class order_editor
{
public:
    order_editor(
        json document, order_clauses const& clauses,
        workspace_name const& workspace)
        : document_(std::move(document)), clauses_(clauses),
          workspace_(workspace)
    {
    }

    json const& document() const { return document_; }

    result<void> operator()(create_object const& order)
    {
        auto& list = document_[list_key(order.kind)];
        if (find_item(list, order.name) != nullptr)
            return refuse(
                errc::conflict, order.name + " is there already", "name");
        if (order.kind == object_kind::zone)
        {
            list.push_back(order.name);
            return boost::outcome_v2::success();
        }
        json item{{"name", order.name}};
        auto assigned = assign(item, order.kind, order.values);
        list.push_back(std::move(item));
        return assigned;
    }

    result<void> operator()(alter_object const& order)
    {
        if (order.kind == object_kind::limits)
            return assign(document_["limits"], order.kind, order.values);
        auto* item = find(order.kind, order.name);
        if (item == nullptr || !item->is_object())
            return unknown(order.kind, order.name);
        return assign(*item, order.kind, order.values);
    }

    result<void> operator()(remove_object const& order)
    {
        auto const* item = find(order.kind, order.name);
        if (item == nullptr)
            return unknown(order.kind, order.name);
        auto& list = document_[list_key(order.kind)];
        list.erase(list.begin() + (item - &list[0]));
        return boost::outcome_v2::success();
    }

    result<void> operator()(change_artifact const& order)
    {
        auto const* key =
            order.kind == artifact_kind::model ? "models" : "adapters";
        return each_target(
            order.targets,
            [&](json& target)
            {
                auto& list = target[key];
                auto const at =
                    std::find(list.begin(), list.end(), json(order.name));
                if (order.load && at == list.end())
                    list.push_back(order.name);
                if (!order.load && at != list.end())
                    list.erase(at);
            });
    }

    result<void> operator()(set_role const& order)
    {
        return each_target(
            order.targets, [&](json& target) { target["role"] = order.role; });
    }

    result<void> operator()(set_policy const& order)
    {
        auto const* policy =
            detail::policy_names.at(static_cast<std::size_t>(order.policy));
        return each_target(
            order.targets,
            [&](json& target)
            {
                target["policy"] = policy;
                target["stop_now"] = clauses_.now;
            });
    }

    result<void> operator()(apply_configuration const& order)
    {
        auto next = json::parse(order.document, nullptr, false);
        // What is not an object is left to the document's own check.
        if (next.is_object())
        {
            next["version"] = document_["version"];
            keep_other_workspaces(next);
            document_ = std::move(next);
            return boost::outcome_v2::success();
        }
        return refuse(parse_configuration(order.document).problems);
    }

    result<void> operator()(set_budget const&) { return not_here(); }
    result<void> operator()(end_program const&) { return not_here(); }

private:
    static result<void> not_here()
    {
        return refuse(errc::internal, "does not change the configuration");
    }

    json* find(object_kind kind, std::string const& name)
    {
        if (kind == object_kind::workspace && name != workspace_.str())
            return nullptr;
        return find_item(document_[list_key(kind)], name);
    }

    template<class Edit>
    result<void>
    each_target(std::vector<target_name> const& names, Edit const& edit)
    {
        for (auto const& name : names)
        {
            auto* target = find(object_kind::target, name.str());
            if (target == nullptr)
                return unknown(object_kind::target, name.str());
            edit(*target);
        }
        return boost::outcome_v2::success();
    }

    // The operator cannot see them, so a document cannot carry them.
    void keep_other_workspaces(json& next)
    {
        if (!next.contains("workspaces"))
            next["workspaces"] = json::array();
        auto& kept = next["workspaces"];
        if (!kept.is_array())
            return;
        for (auto const& item : document_["workspaces"])
        {
            auto const name = item.value("name", "");
            if (name != workspace_.str() && find_item(kept, name) == nullptr)
                kept.push_back(item);
        }
    }

    json document_;
    order_clauses const& clauses_;
    workspace_name const& workspace_;
};

bool is_leaving(target_policy policy)
{
    return policy == target_policy::stop || policy == target_policy::expunged;
}

// Fields that follow from the change itself.
void complete(configuration const& before, configuration& next)
{
    next.version = before.version + 1;
    for (auto& target : next.targets)
    {
        auto const* old = find_target(before, target.name);
        bool const same = old != nullptr && old->policy == target.policy;
        target.policy_since = same ? old->policy_since : next.version;
        target.stop_now = target.stop_now && is_leaving(target.policy);
    }
}

// Names are forever: a target of the same name would inherit orders, rows and
// holds of the one that was expunged.
result<void>
check_targets(configuration const& before, configuration const& next)
{
    for (auto const& old : before.targets)
    {
        auto const* now = find_target(next, old.name);
        auto const& name = old.name.str();
        if (old.policy == target_policy::expunged &&
            (now == nullptr || now->policy != target_policy::expunged))
            return refuse(
                errc::conflict, name + " is expunged, which cannot be undone");
        if (now == nullptr && old.policy != target_policy::stop)
            return refuse(
                errc::conflict,
                name + " has to be stopped before it is removed");
    }
    return boost::outcome_v2::success();
}

result<void> check_workspaces(
    configuration_differences const& changes, configuration const& before,
    workspace_name const& own)
{
    for (auto const& workspace : before.workspaces)
    {
        auto const part = "workspaces/" + workspace.name.str() + "/";
        for (auto const& change : changes)
        {
            if (workspace.name != own && change.path.rfind(part, 0) == 0)
                return refuse(
                    errc::forbidden,
                    "the document changes a part of another workspace");
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

bool changes_configuration(order_body const& body)
{
    return !std::holds_alternative<set_budget>(body) &&
           !std::holds_alternative<end_program>(body);
}

result<configuration_draft> draft_configuration(
    configuration const& current, order_statement const& order,
    workspace_name const& workspace)
{
    order_editor editor(
        detail::configuration_to_json(current), order.clauses, workspace);
    auto const edited = std::visit(editor, order.body);
    if (!edited)
        return edited.error();
    auto parsed = parse_configuration(editor.document().dump());
    if (!parsed.problems.empty())
        return refuse(parsed.problems);
    complete(current, parsed.value);
    auto const sound = check_targets(current, parsed.value);
    if (!sound)
        return sound.error();
    auto changes = differences(current, parsed.value);
    auto const allowed = check_workspaces(changes, current, workspace);
    if (!allowed)
        return allowed.error();
    return configuration_draft{std::move(parsed.value), std::move(changes)};
}

} // namespace walnutmill
