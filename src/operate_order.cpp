#include <walnutmill/hash.hpp>
#include <walnutmill/target_rows.hpp>

#include "operate_parts.hpp"

#include <algorithm>
#include <cctype>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

// A statement is repeated in the audit trail up to this; a whole document
// would not fit there, its differences do.
constexpr std::size_t longest_kept_text = 512;
constexpr std::size_t longest_kept_detail = 4'096;
constexpr std::size_t longest_command_id = 128;

refusal refuse(errc code, std::string message, std::string field = "")
{
    refusal why;
    why.code = code;
    why.message = std::move(message);
    why.field = std::move(field);
    return why;
}

std::string cut_short(std::string text, std::size_t longest)
{
    if (text.size() <= longest)
        return text;
    text.resize(longest);
    return text + " ...";
}

bool is_sound_id(std::string const& id)
{
    return id.size() <= longest_command_id &&
           std::all_of(
               id.begin(), id.end(),
               [](unsigned char c) {
                   return std::isalnum(c) != 0 || c == '-' || c == '_' ||
                          c == '.';
               });
}

std::string_view reached_state(target_policy policy)
{
    switch (policy)
    {
    case target_policy::in_service:
        return to_string(target_condition::ready);
    case target_policy::drain:
        return to_string(target_condition::drained);
    case target_policy::stop:
        return to_string(target_condition::stopped);
    case target_policy::expunged:
        break;
    }
    return to_string(target_condition::expunged);
}

command_row new_row(
    operate_hooks const& hooks, operator_request const& request,
    order_body const& body)
{
    command_row row;
    row.id = request.command_id.empty() ? hooks.new_id() : request.command_id;
    row.who = request.who;
    row.workspace = request.workspace;
    row.text = cut_short(request.text, longest_kept_text);
    row.text_hash = stable_hash(request.text);
    if (auto const* order = std::get_if<set_policy>(&body))
    {
        row.targets = order->targets;
        row.target_state = reached_state(order->policy);
    }
    return row;
}

audit_entry entry_of(
    operate_hooks const& hooks, command_row const& row,
    order_statement const& order, std::uint64_t version)
{
    audit_entry entry;
    entry.id = row.id;
    entry.at = hooks.now();
    if (!changes_configuration(order.body))
        entry.subject = audit_subject::program;
    entry.who = row.who;
    entry.workspace = row.workspace;
    entry.what = row.text;
    entry.reason = order.clauses.reason;
    entry.version_before = version;
    entry.version_after = row.version == 0 ? version : row.version;
    entry.result = row.state == command_state::refused ? audit_result::refused
                                                       : audit_result::accepted;
    entry.detail = row.detail;
    return entry;
}

std::vector<row_write>
writes_of(command_row const& row, audit_entry const& entry)
{
    return {
        {command_key(row.id), encode_command(row)},
        {audit_key(entry), to_json_line(entry)}};
}

// One order on its way: the hooks and what does not change meanwhile.
class order_run
{
public:
    order_run(
        operate_hooks const& hooks, operator_request const& request,
        order_statement const& order)
        : hooks_(hooks), request_(request), order_(order)
    {
    }

    result<std::string> operator()()
    {
        auto const head = hooks_.head();
        if (!head)
            return head.error();
        head_ = head.value();
        if (request_.dry_run || order_.dry_run)
            return plan();
        if (!is_sound_id(request_.command_id))
            return refuse(
                errc::bad_request,
                "takes up to 128 letters, digits, '-', '_' and '.'",
                "command_id");
        row_ = new_row(hooks_, request_, order_.body);
        auto const known = read_command(hooks_, row_.id);
        if (known)
            return repeat(known.value());
        if (known.error().code != errc::not_found)
            return known.error();
        return changes_configuration(order_.body) ? change()
                                                  : act_on_program(false);
    }

private:
    result<std::string> plan()
    {
        if (!changes_configuration(order_.body))
            return result_text(
                {{"dry_run", true},
                 {"changes", "acts on one program at its owner"}});
        auto const draft = draft_checked();
        if (!draft)
            return draft.error();
        return result_text(
            {{"dry_run", true},
             {"version", head_->version},
             {"changes", to_text(draft.value().changes)}});
    }

    // The same id is the same command: nothing is done twice.
    result<std::string> repeat(command_row const& known)
    {
        bool const same = known.text_hash == row_.text_hash &&
                          known.who == row_.who &&
                          known.workspace == row_.workspace;
        if (!same)
            return refuse(
                errc::conflict, "the id belongs to another command",
                "command_id");
        if (known.state != command_state::pending)
            return command_answer(hooks_, request_, known);
        row_ = known;
        return act_on_program(true);
    }

    result<configuration_draft> draft_checked()
    {
        auto const& wanted = order_.clauses.at_version;
        if (wanted && *wanted != head_->version)
            return version_conflict(*wanted);
        return draft_configuration(*head_, order_, request_.workspace);
    }

    refusal version_conflict(std::uint64_t since)
    {
        auto text = "the configuration is no longer at version " +
                    std::to_string(since) + "\n";
        auto const changes = read_changes(hooks_, request_.workspace, since);
        if (changes)
        {
            for (auto const& entry : changes.value())
            {
                if (entry.result == audit_result::accepted)
                    text += "version " + std::to_string(entry.version_after) +
                            " by " + entry.who + ": " + entry.what + "\n" +
                            entry.detail;
            }
        }
        return refuse(errc::conflict, text);
    }

    result<std::string> change()
    {
        auto const draft = draft_checked();
        if (!draft)
            return refuse_recorded(draft.error());
        row_.state = command_state::committed;
        if (draft.value().changes.empty())
            return already_so();
        row_.version = draft.value().next.version;
        row_.detail =
            cut_short(to_text(draft.value().changes), longest_kept_detail);
        configuration_proposal proposal;
        proposal.next = draft.value().next;
        proposal.expected_version = head_->version;
        proposal.id = row_.id;
        proposal.conditions = {{command_key(row_.id), std::nullopt}};
        proposal.writes =
            writes_of(row_, entry_of(hooks_, row_, order_, head_->version));
        auto const outcome = hooks_.propose(proposal);
        if (!outcome)
            return outcome.error();
        switch (outcome.value())
        {
        case proposal_outcome::committed:
            return command_answer(hooks_, request_, row_);
        case proposal_outcome::condition_failed:
            return repeat_from_table();
        case proposal_outcome::version_changed:
            break;
        }
        return lost_race(draft.value().changes);
    }

    // No new version for a change that changes nothing.
    result<std::string> already_so()
    {
        row_.version = head_->version;
        row_.detail = "is so already";
        auto const status = record(command_key(row_.id), std::nullopt);
        if (status == commit_status::refused)
            return repeat_from_table();
        return command_answer(hooks_, request_, row_);
    }

    // Nothing is merged silently: the loser is told both changes.
    result<std::string> lost_race(configuration_differences const& own)
    {
        // The winner may be this very command, sent again by another node.
        auto const known = read_command(hooks_, row_.id);
        if (known)
            return repeat(known.value());
        auto why = version_conflict(head_->version);
        why.message += "your change was\n" + to_text(own);
        return refuse_recorded(why);
    }

    result<std::string> repeat_from_table()
    {
        auto const known = read_command(hooks_, row_.id);
        if (!known)
            return known.error();
        return repeat(known.value());
    }

    // A refusal is kept as well, so that a repeat gets the same answer.
    result<std::string> refuse_recorded(refusal why)
    {
        row_.state = command_state::refused;
        row_.version = 0;
        row_.code = why.code;
        row_.detail = cut_short(why.message, longest_kept_detail);
        record(command_key(row_.id), std::nullopt);
        return why;
    }

    commit_status
    record(std::string const& key, std::optional<std::string> expected)
    {
        transaction written;
        written.id = row_.id + "." + std::string(to_string(row_.state));
        written.conditions = {{key, std::move(expected)}};
        written.writes =
            writes_of(row_, entry_of(hooks_, row_, order_, head_->version));
        return hooks_.table.commit(written).status;
    }

    // Both orders are idempotent at the owner, so a pending row is carried on
    // by whoever repeats the command.
    result<std::string> act_on_program(bool begun)
    {
        auto const key = command_key(row_.id);
        if (!begun)
        {
            auto const status = record(key, std::nullopt);
            if (status == commit_status::refused)
                return repeat_from_table();
            if (status != commit_status::committed)
                return refuse(
                    errc::store_unavailable,
                    "send it again with the command id " + row_.id);
        }
        auto const pending = encode_command(row_);
        auto const acted = act();
        if (!acted && acted.error().retry_after.count() > 0)
            return acted.error();
        row_.state = acted ? command_state::done : command_state::refused;
        row_.code = acted ? errc::internal : acted.error().code;
        row_.detail = acted ? "done" : acted.error().message;
        record(key, pending);
        if (!acted)
            return acted.error();
        return command_answer(hooks_, request_, row_);
    }

    result<void> act()
    {
        if (auto const* end = std::get_if<end_program>(&order_.body))
            return hooks_.end_program(end->program, request_.workspace);
        auto const& budget = std::get<set_budget>(order_.body);
        return hooks_.set_budget(
            budget.program, request_.workspace, budget.units);
    }

    operate_hooks const& hooks_;
    operator_request const& request_;
    order_statement const& order_;
    std::shared_ptr<configuration const> head_;
    command_row row_;
};

} // namespace

result<std::string> run_order_statement(
    operate_hooks const& hooks, operator_request const& request,
    order_statement const& order)
{
    return order_run(hooks, request, order)();
}

} // namespace detail
} // namespace walnutmill
