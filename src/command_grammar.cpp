// The only source that includes Boost.Spirit X3: it takes seconds to compile.

#include <walnutmill/command.hpp>

#include "command_words.hpp"

#include <cmath>

namespace walnutmill
{
namespace
{

using namespace grammar;
using x3::lexeme;
using x3::rule;

// ---- words ----------------------------------------------------------

auto const name_char = x3::char_("a-zA-Z0-9_.:/@-");
auto const reserved =
    kw("reason") | kw("now") | kw("at") | kw("on") | kw("from") | kw("set");

rule<class quoted_id, std::string> const quoted = "a text in double quotes";
auto const quoted_def =
    lexeme['"' >> *(('\\' >> x3::char_) | (x3::char_ - '"' - '\\')) >> '"'];

rule<class name_id, std::string> const name = "a name";
auto const name_def = quoted | (!reserved >> lexeme[+name_char]);

rule<class field_id, std::string> const field = "a field";
auto const field_def = lexeme[+x3::char_("a-zA-Z0-9_.")];

rule<class plain_value_id, std::string> const assigned = "a value";
auto const assigned_def = quoted | lexeme[+(x3::graph - '"')];

rule<class version_id, std::uint64_t> const version = "a version number";
auto const version_def = lexeme[x3::ulong_long >> !name_char];

rule<class count_id, std::uint64_t> const count = "a number";
auto const count_def = lexeme[x3::ulong_long >> !name_char];

// ---- queries --------------------------------------------------------

struct unit_table : x3::symbols<double>
{
    unit_table()
    {
        add("us", 1.0)("ms", 1e3)("s", 1e6)("m", 60e6)("h", 3'600e6);
    }
} const units;

// "inf" and "nan" are names here, not numbers.
struct finite_policies : x3::real_policies<double>
{
    template<class Iterator, class Attribute>
    static bool parse_inf(Iterator&, Iterator const&, Attribute&)
    {
        return false;
    }
    template<class Iterator, class Attribute>
    static bool parse_nan(Iterator&, Iterator const&, Attribute&)
    {
        return false;
    }
};
x3::real_parser<double, finite_policies> const finite;

// A century: longer spans would overflow when they are compared or summed.
constexpr double longest_micros = 100.0 * 365 * 24 * 3'600e6;

auto const take_span = [](auto& context)
{
    auto const& parts = x3::_attr(context);
    auto const micros =
        boost::fusion::at_c<0>(parts) * boost::fusion::at_c<1>(parts);
    if (std::abs(micros) > longest_micros)
        x3::_pass(context) = false;
    else
        x3::_val(context) = duration(static_cast<duration::rep>(micros));
};

rule<class span_id, cell> const span_value = "a duration";
auto const span_value_def = lexeme[finite >> units >> !name_char][take_span];

rule<class number_id, cell> const number_value = "a number";
auto const number_value_def = lexeme[finite >> !name_char][take];

rule<class value_id, cell> const value = "a value";
auto const value_def = span_value[take] | number_value[take] | name[take];

struct comparison_table : x3::symbols<comparison>
{
    comparison_table()
    {
        add("=", comparison::equal)("!=", comparison::not_equal)(
            "<", comparison::less)("<=", comparison::less_equal)(
            ">", comparison::greater)(">=", comparison::greater_equal)(
            "~", comparison::contains);
    }
} const comparisons;

rule<class operator_id, comparison> const operation = "one of = != < <= > >= ~";
auto const operation_def = comparisons;

rule<class filter_id, filter> const condition = "a condition";
auto const condition_def = field[put(&filter::field)] >
                           operation[put(&filter::op)] >
                           value[put(&filter::value)];

rule<class ordering_id, ordering> const order_by = "an ordering";
auto const order_by_def = kw("order") >
                          kw("by") > field[put(&ordering::field)] >
                          -(kw("desc")[fix(&ordering::descending, true)] |
                            kw("asc"));

rule<class grouping_id, grouping> const sum_by = "a sum";
auto const sum_by_def = kw("sum") > field[put(&grouping::sum)] >
                        kw("by") > field[put(&grouping::by)];

rule<class table_id, table_kind> const table =
    "targets, programs, services, nodes, machines, zones, links, orders, "
    "holds, configuration, changes, program ID or command ID";
auto const table_def = kw("targets")[become(table_kind::targets)] |
                       kw("programs")[become(table_kind::programs)] |
                       kw("services")[become(table_kind::services)] |
                       kw("nodes")[become(table_kind::nodes)] |
                       kw("machines")[become(table_kind::machines)] |
                       kw("zones")[become(table_kind::zones)] |
                       kw("links")[become(table_kind::links)] |
                       kw("orders")[become(table_kind::orders)] |
                       kw("holds")[become(table_kind::holds)] |
                       kw("configuration")[become(table_kind::configuration)];

rule<class listing_id, show_table> const listing =
    "a table, program ID or command ID";
auto const listing_def =
    ((kw("changes")[fix(&show_table::table, table_kind::changes)] >
      -(kw("since") > version[put(&show_table::since)])) |
     table[put(&show_table::table)]) >
    -(kw("where") > (condition[add(&show_table::where)] % kw("and"))) >
    -order_by[put(&show_table::order)] > -sum_by[put(&show_table::group)] >
    -(kw("limit") > count[put(&show_table::limit)]);

rule<class show_program_id, show_program> const one_program = "a program";
auto const one_program_def = kw("program") > name[put(&show_program::program)];

rule<class show_command_id, show_command> const one_command = "a command";
auto const one_command_def = kw("command") > name[put(&show_command::id)];

rule<class shown_id, query> const shown =
    "targets, programs, services, nodes, machines, zones, links, orders, "
    "holds, configuration, changes, program ID or command ID";
auto const shown_def = one_program[take] | one_command[take] | listing[take];

rule<class explained_id, explain_program> const explained = "program ID";
auto const explained_def = kw("program") > name[put(&explain_program::program)];

rule<class help_id, show_help> const help = "help";
auto const help_def = kw("help") > -name[put(&show_help::topic)];

rule<class query_id, query> const any_query = "a query";
auto const any_query_def =
    (kw("show") > shown[take]) | (kw("explain") > explained[take]) | help[take];

// ---- orders ---------------------------------------------------------

rule<class kind_id, object_kind> const named_kind =
    "service, workspace, target or zone";
auto const named_kind_def = kw("service")[become(object_kind::service)] |
                            kw("workspace")[become(object_kind::workspace)] |
                            kw("target")[become(object_kind::target)] |
                            kw("zone")[become(object_kind::zone)];

rule<class setting_id, assignment> const setting = "KEY=VALUE";
auto const setting_def = (!reserved >> field[put(&assignment::key)]) > '=' >
                         assigned[put(&assignment::value)];

rule<class creation_id, create_object> const creation = "create";
auto const creation_def = kw("create") > named_kind[put(&create_object::kind)] >
                          name[put(&create_object::name)] >
                          *setting[add(&create_object::values)];

rule<class altered_id, alter_object> const altered =
    "service, workspace, target or limits";
auto const altered_def =
    (kw("limits")[fix(&alter_object::kind, object_kind::limits)] |
     (named_kind[put(&alter_object::kind)] > name[put(&alter_object::name)])) >
    kw("set") > +setting[add(&alter_object::values)];

rule<class removal_id, remove_object> const removal = "remove";
auto const removal_def = kw("remove") > named_kind[put(&remove_object::kind)] >
                         name[put(&remove_object::name)];

rule<class artifact_id, artifact_kind> const artifact = "model or adapter";
auto const artifact_def = kw("model")[become(artifact_kind::model)] |
                          kw("adapter")[become(artifact_kind::adapter)];

rule<class on_id> const on = "on or from";
auto const on_def = kw("on") | kw("from");

rule<class loading_id, change_artifact> const loading = "load or unload";
auto const loading_def = (kw("load")[fix(&change_artifact::load, true)] |
                          kw("unload")[fix(&change_artifact::load, false)]) >
                         artifact[put(&change_artifact::kind)] >
                         name[put(&change_artifact::name)] > on >
                         +name[add(&change_artifact::targets)];

rule<class role_id, set_role> const role = "role";
auto const role_def = kw("role") > name[put(&set_role::role)] > kw("on") >
                      +name[add(&set_role::targets)];

rule<class budget_id, set_budget> const budget = "budget";
auto const budget_def = kw("budget") > count[put(&set_budget::units)] >
                        kw("for") > name[put(&set_budget::program)];

rule<class set_id, order_body> const role_or_budget = "role or budget";
auto const role_or_budget_def = role[take] | budget[take];

rule<class policy_id, set_policy> const policy = "a policy";
auto const policy_def =
    (kw("wake")[fix(&set_policy::policy, target_policy::in_service)] |
     kw("drain")[fix(&set_policy::policy, target_policy::drain)] |
     kw("stop")[fix(&set_policy::policy, target_policy::stop)] |
     kw("expunge")[fix(&set_policy::policy, target_policy::expunged)]) >
    +name[add(&set_policy::targets)];

rule<class ending_id, end_program> const ending = "end";
auto const ending_def = kw("end") >
                        kw("program") > name[put(&end_program::program)];

rule<class body_id, order_body> const order = "an order";
auto const order_def = creation[take] | (kw("alter") > altered[take]) |
                       removal[take] | loading[take] |
                       (kw("set") > role_or_budget[take]) | policy[take] |
                       ending[take];

rule<class clauses_id, order_clauses> const clauses = "clauses";
auto const clauses_def =
    *((kw("reason") > quoted[put(&order_clauses::reason)]) |
      kw("now")[fix(&order_clauses::now, true)] |
      (kw("at") > kw("version") > version[put(&order_clauses::at_version)]));

rule<class document_id, std::string> const document = "a JSON object";
auto const document_def = x3::raw[x3::char_('{') >> *x3::char_][(
    [](auto& context)
    {
        auto const& range = x3::_attr(context);
        x3::_val(context).assign(range.begin(), range.end());
    })];

rule<class apply_id, apply_configuration> const applied = "a JSON object";
auto const applied_def = document[put(&apply_configuration::document)];

// The document takes the rest of the text, so its clauses go before it.
rule<class ordered_id, order_statement> const ordered = "an order";
auto const ordered_def =
    ((kw("apply") > kw("configuration") >
      clauses[put(&order_statement::clauses)] >
      applied[put(&order_statement::body)]) |
     (order[put(&order_statement::body)] >
      clauses[put(&order_statement::clauses)]));

rule<class planned_id, order_statement> const planned = "an order";
auto const planned_def =
    (kw("plan") > ordered[take])[fix(&order_statement::dry_run, true)] |
    ordered[take];

rule<class statement_id, statement> const whole =
    "show, explain, help, create, alter, remove, load, unload, set, wake, "
    "drain, stop, expunge, end, apply or plan";
auto const whole_def = any_query[take] | planned[take];

rule<class end_id> const the_end = "the end of the statement";
auto const the_end_def = x3::eoi;

BOOST_SPIRIT_DEFINE(
    quoted, name, field, assigned, version, count, span_value, number_value,
    value, operation, condition, order_by, sum_by, table, listing, one_program,
    one_command, shown, explained, help, any_query, named_kind, setting,
    creation, altered, removal, artifact, on, loading, role, budget,
    role_or_budget, policy, ending, order, clauses, document, applied, ordered,
    planned, whole, the_end)

std::string word_at(std::string_view text, std::size_t position)
{
    auto end = position;
    while (end < text.size() && is_word_char(text[end]))
        ++end;
    if (end == position && end < text.size())
        ++end;
    if (position == end)
        return "the end";
    return "'" + std::string(text.substr(position, end - position)) + "'";
}

syntax_error
error_at(std::string_view text, char const* where, std::string const& expected)
{
    auto position = static_cast<std::size_t>(where - text.data());
    while (position < text.size() &&
           std::isspace(static_cast<unsigned char>(text[position])) != 0)
        ++position;
    return {position, expected, word_at(text, position)};
}

} // namespace

parsed_statement parse_statement(std::string_view text)
{
    if (text.size() > max_statement_bytes)
        return syntax_error{max_statement_bytes, "a shorter text", "more"};
    char const* at = text.data();
    char const* const end = at + text.size();
    statement parsed;
    try
    {
        auto const grammar = x3::eps > whole > the_end;
        x3::phrase_parse(at, end, grammar, x3::space, parsed);
        return parsed;
    }
    catch (x3::expectation_failure<char const*> const& failure)
    {
        return error_at(text, failure.where(), failure.which());
    }
}

} // namespace walnutmill
