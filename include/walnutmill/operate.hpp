#ifndef WALNUTMILL_OPERATE_HPP
#define WALNUTMILL_OPERATE_HPP

/// \file
/// Carries out operators' statements. All it needs of the node are hooks; what
/// lasts is in the table, so any node can take any statement.

#include <walnutmill/audit.hpp>
#include <walnutmill/configuration_draft.hpp>
#include <walnutmill/platform.hpp>
#include <walnutmill/query.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{

/// One statement and who makes it.
struct operator_request
{
    /// Principal of the token.
    std::string who;
    workspace_name workspace;
    bool may_operate = false;
    std::string text;
    /// The same id is the same command, however often it is sent. Empty: one
    /// is made up.
    std::string command_id;
    bool dry_run = false;
    /// Tables as JSON rather than as text.
    bool json = false;
};

/// A next configuration, and what has to be written with it or not at all.
struct configuration_proposal
{
    /// Its version is `expected_version` plus one.
    configuration next;
    std::uint64_t expected_version = 0;
    /// Transaction id: a repeat after a lost answer is the same transaction.
    std::string id;
    std::vector<condition> conditions;
    std::vector<row_write> writes;
};

enum class proposal_outcome
{
    committed,
    /// The head was at another version.
    version_changed,
    /// One of the proposal's own conditions did not hold.
    condition_failed
};

/// Rows of one kind from all nodes. Columns may be some of columns_of(kind).
struct gathered_rows
{
    result_table table;
    std::vector<node_answer> nodes;
};

struct gathered_decisions
{
    std::vector<decision_entry> entries;
    std::vector<node_answer> nodes;
};

/// What the node lends. Hooks may block; they are called on the caller's
/// thread, from several threads at once.
struct operate_hooks
{
    /// Reads the configuration's head from the platform; orders start there.
    std::function<result<std::shared_ptr<configuration const>>()> head;
    /// What is in force here; queries are answered with it, so that they work
    /// during an outage of the table.
    std::function<std::shared_ptr<configuration const>()> in_force;
    /// Highest version that every live node has in force.
    std::function<std::uint64_t()> accepted_version;
    /// \return what became of it; outcome_unknown when the answer was lost.
    std::function<result<proposal_outcome>(configuration_proposal const&)>
        propose;
    table_service table;
    /// Rows that live in nodes. Targets' and services' rows carry the name
    /// and what is measured; the rest is known here.
    std::function<gathered_rows(table_kind)> gather;
    std::function<gathered_decisions(program_id const&)> decisions;
    /// \return errc::not_found unless the program, live or ended, is one of
    /// the workspace.
    std::function<result<void>(program_id const&, workspace_name const&)>
        check_program;
    /// Both act at the program's owner; not_found also for a program of
    /// another workspace.
    std::function<result<void>(program_id const&, workspace_name const&)>
        end_program;
    std::function<result<void>(
        program_id const&, workspace_name const&, std::uint64_t units)>
        set_budget;
    std::function<wall_time()> now;
    /// \return an id that no other node makes.
    std::function<std::string()> new_id;
};

constexpr std::string_view command_prefix = "command/";

/// How far a command has come.
enum class command_state
{
    /// Begun; a repeat carries on.
    pending,
    refused,
    /// In the table, not yet in force at every live node.
    committed,
    /// In force at every live node; targets are still on their way.
    in_force,
    done
};

/// \return "in_force" and the like.
std::string_view to_string(command_state state);

/// Takes statements. Thread-safe if the hooks are.
class operator_desk
{
public:
    explicit operator_desk(operate_hooks hooks);

    /// \return the answer as JSON text {"result": …}, or a refusal: of a bad
    /// text with its position, of a conflict with what changed.
    result<std::string> run(operator_request const& request) const;

private:
    operate_hooks hooks_;
};

} // namespace walnutmill

#endif
