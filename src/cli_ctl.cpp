#include "cli_ctl.hpp"

#include <walnutmill/command.hpp>

#include "ctl.hpp"

#include <iostream>

namespace walnutmill
{
namespace
{

// A document that was added from a file does not fit a line.
constexpr std::size_t longest_marked_text = 200;

void show(std::string const& text, syntax_error const& error)
{
    if (text.size() <= longest_marked_text &&
        text.find('\n') == std::string::npos)
        std::cerr << text << '\n' << std::string(error.position, ' ') << "^\n";
    std::cerr << to_text(error) << '\n';
}

} // namespace

int run_ctl(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    auto const parsed = parse_ctl(arguments, environment, "STATEMENT");
    if (parsed.value.help)
    {
        std::cout << ctl_help("walnutmill ctl [FLAGS] 'STATEMENT'") << '\n'
                  << help_text("");
        return ctl_done;
    }
    for (auto const& one : parsed.problems.items())
        std::cerr << one.place << ": " << one.message << '\n';
    if (!parsed.problems.empty())
        return ctl_usage;
    // A bad text is told at once, with the place marked, without a node.
    auto const statement = parse_statement(parsed.value.text);
    if (!statement)
    {
        show(parsed.value.text, statement.error());
        return ctl_usage;
    }
    return send_to_node(parsed.value);
}

} // namespace walnutmill
