#include "config_attempt.hpp"

#include "configuration_json.hpp"

#include <walnutmill/hash.hpp>
#include <walnutmill/logging.hpp>

#include <algorithm>

namespace walnutmill
{
namespace detail
{
namespace
{

/// Tries of one commit and its read-back before the operator is told that
/// the outcome is unknown.
constexpr int max_tries = 4;
constexpr std::size_t max_command_id_bytes = 128;

refusal make_refusal(errc code, certainty ran, std::string message)
{
    refusal made;
    made.code = code;
    made.ran = ran;
    made.message = std::move(message);
    return made;
}

refusal store_gone(bool in_doubt)
{
    auto made = make_refusal(
        in_doubt ? errc::outcome_unknown : errc::store_unavailable,
        in_doubt ? certainty::outcome_unknown : certainty::not_run,
        "the table does not answer");
    made.retry_after = std::chrono::seconds(1);
    return made;
}

/// \return the first finding of a document, if it has any.
std::optional<refusal> check_sound(std::string const& document)
{
    auto const parsed = parse_configuration(document);
    if (parsed.problems.empty())
        return std::nullopt;
    auto const& items = parsed.problems.items();
    auto made = make_refusal(
        errc::bad_request, certainty::not_run,
        std::to_string(items.size()) +
            " findings, the first: " + items.front().message);
    made.field = items.front().place;
    return made;
}

/// \return what brings an expunged target back, if anything does. It stays
/// listed for ever, or its name could come back later.
std::string
revived_target(configuration const& before, configuration const& after)
{
    for (auto const& target : before.targets)
    {
        if (target.policy != target_policy::expunged)
            continue;
        auto const* const next = find_target(after, target.name);
        if (next == nullptr || next->policy != target_policy::expunged)
            return target.name.str();
    }
    return "";
}

} // namespace

config_attempt::config_attempt(
    config_store const& store, table_service const& table,
    object_store const& objects, configuration_change const& wanted)
    : store_(store), table_(table), objects_(objects), wanted_(wanted)
{
    auto next = wanted.next;
    next.version = next_version();
    document_ = to_json_text(next);
    hash_ = stable_hash(document_);
    in_object_ = document_.size() > config_store::max_row_document_bytes;
}

std::uint64_t config_attempt::next_version() const
{
    return wanted_.expected_version + 1;
}

result<change_outcome> config_attempt::run()
{
    auto const& id = wanted_.command_id;
    if (id.empty() || id.size() > max_command_id_bytes)
    {
        auto bad = make_refusal(
            errc::bad_request, certainty::not_run, "must have 1 to 128 bytes");
        bad.field = "command_id";
        return bad;
    }
    auto const unsound = check_sound(document_);
    if (unsound)
        return *unsound;
    auto const view = look();
    if (!view)
        return store_gone(false);
    auto already = settled(view.value());
    if (!already)
        return already.error();
    if (already.value())
        return std::move(*already.value());
    if (in_object_)
    {
        auto const put = put_object();
        if (!put)
            return store_gone(false);
    }
    return carry_out(view.value());
}

result<config_view> config_attempt::look() const
{
    auto const version = next_version();
    auto const kept = config_store::kept_versions;
    auto const command_key = config_command_key(wanted_.command_id);
    auto const outdated_key =
        config_document_key(version > kept ? version - kept : 0);
    auto const rows = table_.read({config_head_key, command_key, outdated_key});
    if (!rows)
        return rows.error();
    config_view view;
    for (auto const& row : rows.value())
    {
        if (row.key == config_head_key)
        {
            auto head = decode_config_head(row.value);
            if (!head)
                return head.error();
            view.head = head.value();
            view.head_value = row.value;
        }
        else if (row.key == command_key)
        {
            auto done = decode_config_command(row.value);
            if (!done)
                return done.error();
            view.done = done.value();
        }
        else if (row.key == outdated_key)
        {
            auto outdated = decode_config_document(row.value);
            if (outdated)
                view.outdated = outdated.value();
        }
    }
    return view;
}

result<std::optional<change_outcome>>
config_attempt::settled(config_view const& view) const
{
    using settled_outcome = std::optional<change_outcome>;
    if (view.done)
    {
        auto again = repeated(*view.done);
        if (!again)
            return again.error();
        return settled_outcome(std::move(again.value()));
    }
    if (view.head.version != wanted_.expected_version)
        return settled_outcome(refuse(stale(view.head)));
    if (view.head.version == 0)
        return settled_outcome();
    auto const before = store_.read_version(view.head.version);
    if (!before)
        return store_gone(false);
    auto const revived = revived_target(*before.value(), wanted_.next);
    if (revived.empty())
        return settled_outcome();
    change_outcome outcome;
    outcome.status = change_status::not_allowed;
    outcome.version = view.head.version;
    outcome.message =
        "target '" + revived + "' was expunged, which cannot be undone";
    return settled_outcome(refuse(std::move(outcome)));
}

result<change_outcome> config_attempt::carry_out(config_view const& view) const
{
    auto const wanted = make_transaction(view);
    bool in_doubt = false;
    for (int i = 0; i < max_tries; ++i)
    {
        auto const tried = table_.commit(wanted);
        if (tried.status == commit_status::committed)
            return committed(view);
        if (tried.status == commit_status::not_sent && !in_doubt)
            return store_gone(false);
        if (tried.status == commit_status::in_doubt)
            in_doubt = true;
        // A lost answer, or a condition that failed: the rows tell whether
        // an earlier try of this very transaction took effect.
        auto const after = look();
        if (!after)
            continue;
        if (after.value().done)
        {
            auto const& done = *after.value().done;
            if (done.version == next_version() && done.document_hash == hash_)
                return committed(view);
            return repeated(done);
        }
        if (after.value().head_value != view.head_value)
            return refuse(stale(after.value().head));
        if (tried.status != commit_status::refused)
            continue;
        change_outcome outcome;
        outcome.status = change_status::condition_failed;
        outcome.version = view.head.version;
        outcome.message = "a condition of the change does not hold: " +
                          (tried.failed.empty() ? "" : tried.failed.front());
        return refuse(std::move(outcome));
    }
    return store_gone(in_doubt);
}

result<void> config_attempt::put_object() const
{
    return objects_.put(
        config_object_key(next_version(), wanted_.command_id), document_);
}

transaction config_attempt::make_transaction(config_view const& view) const
{
    auto const version = next_version();
    config_document document;
    document.command_id = wanted_.command_id;
    if (in_object_)
        document.object = config_object_key(version, wanted_.command_id);
    else
        document.text = document_;
    transaction made;
    made.id = "config/" + wanted_.command_id;
    made.conditions = wanted_.conditions;
    made.conditions.push_back({config_head_key, view.head_value});
    made.conditions.push_back(
        {config_command_key(wanted_.command_id), std::nullopt});
    made.writes = wanted_.writes;
    made.writes.push_back(
        {config_head_key,
         encode(config_head{version, wanted_.command_id, wanted_.who})});
    made.writes.push_back({config_document_key(version), encode(document)});
    made.writes.push_back(
        {config_command_key(wanted_.command_id),
         encode(config_command{version, hash_})});
    if (wanted_.audit)
    {
        change_outcome outcome;
        outcome.version = version;
        auto const entry = audit_of(outcome);
        made.writes.push_back({audit_key(entry), to_json_line(entry)});
    }
    add_clean_up(view, made);
    return made;
}

void config_attempt::add_clean_up(
    config_view const& view, transaction& into) const
{
    if (!view.outdated)
        return;
    auto const version = next_version() - config_store::kept_versions;
    into.writes.push_back({config_document_key(version), std::nullopt});
    into.writes.push_back(
        {config_command_key(view.outdated->command_id), std::nullopt});
}

result<change_outcome>
config_attempt::repeated(config_command const& done) const
{
    // Made anew for a later version, a repeat has another document.
    bool const same_version = done.version == next_version();
    if (same_version && done.document_hash != hash_)
    {
        auto bad = make_refusal(
            errc::conflict, certainty::not_run,
            "this command id was used for another change");
        bad.field = "command_id";
        return bad;
    }
    change_outcome outcome;
    outcome.status = change_status::repeated;
    outcome.version = done.version;
    return outcome;
}

change_outcome config_attempt::stale(config_head const& head) const
{
    change_outcome outcome;
    outcome.status = change_status::version_changed;
    outcome.version = head.version;
    outcome.message = "the head is at version " + std::to_string(head.version) +
                      " by " + head.who + ", not at " +
                      std::to_string(wanted_.expected_version);
    auto const current = store_.read_version(head.version);
    if (current)
        outcome.theirs = patch_to(wanted_.expected_version, *current.value());
    outcome.own = patch_to(wanted_.expected_version, wanted_.next);
    return outcome;
}

std::string config_attempt::patch_to(
    std::uint64_t version, configuration const& other) const
{
    configuration before;
    if (version != 0)
    {
        auto const read = store_.read_version(version);
        if (!read)
            return "";
        before = *read.value();
    }
    // The versions differ anyhow and would hide that nothing else does.
    auto after = other;
    after.version = before.version;
    return nlohmann::json::diff(
               configuration_to_json(before), configuration_to_json(after))
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

change_outcome config_attempt::committed(config_view const& view) const
{
    // Of no use to anybody any more; left over if this fails.
    if (view.outdated && !view.outdated->object.empty())
        static_cast<void>(objects_.erase(view.outdated->object));
    change_outcome outcome;
    outcome.version = next_version();
    return outcome;
}

change_outcome config_attempt::refuse(change_outcome outcome) const
{
    if (!wanted_.audit)
        return outcome;
    auto const entry = audit_of(outcome);
    transaction wanted;
    wanted.id = "config/" + wanted_.command_id + "/refused";
    wanted.writes.push_back({audit_key(entry), to_json_line(entry)});
    auto const written = table_.commit(wanted);
    if (written.status != commit_status::committed)
        write_log(
            severity::warning, "configuration",
            "audit entry of a refused change may be missing",
            {{"command", wanted_.command_id}, {"who", wanted_.who}});
    return outcome;
}

audit_entry config_attempt::audit_of(change_outcome const& outcome) const
{
    bool const accepted = outcome.status == change_status::committed;
    auto entry = *wanted_.audit;
    entry.id = wanted_.command_id;
    entry.who = wanted_.who;
    entry.subject = audit_subject::configuration;
    entry.version_before =
        accepted ? wanted_.expected_version : outcome.version;
    entry.version_after = outcome.version;
    entry.result = accepted ? audit_result::accepted : audit_result::refused;
    if (!accepted)
        entry.detail = outcome.message;
    return entry;
}

} // namespace detail
} // namespace walnutmill
