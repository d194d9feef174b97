#ifndef WALNUTMILL_COMMAND_HPP
#define WALNUTMILL_COMMAND_HPP

/// \file
/// The operators' query and command language: its statements as typed values
/// and the parser. docs/OPERATORS.md is the reference.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/ids.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace walnutmill
{

/// What `show` can list.
enum class table_kind
{
    targets,
    programs,
    services,
    nodes,
    machines,
    zones,
    links,
    orders,
    holds,
    configuration,
    changes
};

/// \return "targets" and the like.
std::string_view to_string(table_kind kind);

/// A value in a query or in its answer. A cell without a value is monostate.
using cell = std::variant<std::monostate, std::string, double, duration>;

enum class comparison
{
    equal,
    not_equal,
    less,
    less_equal,
    greater,
    greater_equal,
    /// The text holds the value: written `~`.
    contains
};

/// `FIELD OP VALUE` of a where clause.
struct filter
{
    std::string field;
    comparison op = comparison::equal;
    cell value;
};

struct ordering
{
    std::string field;
    bool descending = false;
};

/// `sum FIELD by FIELD`.
struct grouping
{
    std::string sum;
    std::string by;
};

/// `show TABLE …`.
struct show_table
{
    table_kind table = table_kind::targets;
    /// Only for changes: those after this configuration version.
    std::optional<std::uint64_t> since;
    /// All must hold.
    std::vector<filter> where;
    std::optional<ordering> order;
    std::optional<grouping> group;
    std::optional<std::size_t> limit;
};

/// `show program ID`: what it spent, where it is and why it waits.
struct show_program
{
    program_id program;
};

/// `show command ID`: how far an order has come.
struct show_command
{
    std::string id;
};

/// `explain program ID`: the decisions about it.
struct explain_program
{
    program_id program;
};

/// `help [TOPIC]`.
struct show_help
{
    std::string topic;
};

/// What `create`, `alter` and `remove` act on.
enum class object_kind
{
    service,
    workspace,
    target,
    zone,
    limits
};

/// \return "service" and the like.
std::string_view to_string(object_kind kind);

/// `key=value`; the value as written, lists with commas.
struct assignment
{
    std::string key;
    std::string value;
};

struct create_object
{
    object_kind kind = object_kind::service;
    std::string name;
    std::vector<assignment> values;
};

struct alter_object
{
    object_kind kind = object_kind::service;
    /// Empty for limits.
    std::string name;
    std::vector<assignment> values;
};

struct remove_object
{
    object_kind kind = object_kind::service;
    std::string name;
};

enum class artifact_kind
{
    model,
    adapter
};

/// `load|unload model|adapter NAME[@VERSION] on TARGET…`.
struct change_artifact
{
    bool load = true;
    artifact_kind kind = artifact_kind::model;
    std::string name;
    std::vector<target_name> targets;
};

/// `set role ROLE on TARGET…`.
struct set_role
{
    std::string role;
    std::vector<target_name> targets;
};

/// `wake|drain|stop|expunge TARGET…`; wake asks for in_service.
struct set_policy
{
    target_policy policy = target_policy::in_service;
    std::vector<target_name> targets;
};

/// `set budget UNITS for PROGRAM`.
struct set_budget
{
    std::uint64_t units = 0;
    program_id program;
};

/// `end program ID`.
struct end_program
{
    program_id program;
};

/// `apply configuration {…}`: the whole document.
struct apply_configuration
{
    std::string document;
};

using query = std::variant<
    show_table, show_program, show_command, explain_program, show_help>;
using order_body = std::variant<
    create_object, alter_object, remove_object, change_artifact, set_role,
    set_policy, set_budget, end_program, apply_configuration>;

/// Clauses that may follow any order, in any sequence.
struct order_clauses
{
    std::string reason;
    /// The operator's word that running work may be cut off.
    bool now = false;
    /// Refuse if the configuration is no longer at this version.
    std::optional<std::uint64_t> at_version;
};

struct order_statement
{
    order_body body;
    order_clauses clauses;
    /// Written with `plan`: shows what would change.
    bool dry_run = false;
};

using statement = std::variant<query, order_statement>;

/// Where a text stopped making sense.
struct syntax_error
{
    /// Offset in bytes from the start of the text.
    std::size_t position = 0;
    std::string expected;
    /// The word found there, or "the end".
    std::string found;
};

using parsed_statement = boost::outcome_v2::basic_result<
    statement, syntax_error, boost::outcome_v2::policy::terminate>;

/// Longest text taken, in bytes: a configuration document of 3,000 targets
/// has about 600 KB.
constexpr std::size_t max_statement_bytes = 1u << 20;

/// Parses one statement. Keywords may be in any case. Never throws.
parsed_statement parse_statement(std::string_view text);

/// \return for example "at 5: expected a name, found the end".
std::string to_text(syntax_error const& error);

/// \param topic a statement's first word or a table's name; others give the
/// overview
/// \return the language's help text.
std::string help_text(std::string_view topic);

} // namespace walnutmill

#endif
