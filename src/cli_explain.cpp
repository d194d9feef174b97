#include "cli_explain.hpp"

#include "ctl.hpp"
#include "entry/call_trace.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace walnutmill
{
namespace
{

constexpr std::string_view lines_flag = "--lines";

/// `explain ID --lines FILE...`: from log lines, without a node.
int explain_from_lines(std::vector<std::string> const& arguments)
{
    if (arguments.size() < 3 || arguments[1] != lines_flag)
    {
        std::cerr << "usage: walnutmill explain ID --lines FILE... "
                     "(- is standard input)\n";
        return ctl_usage;
    }
    call_trace story(arguments.front());
    for (auto it = arguments.begin() + 2; it != arguments.end(); ++it)
    {
        if (*it == "-")
        {
            story.read(std::cin);
            continue;
        }
        std::ifstream file(*it);
        if (!file)
        {
            std::cerr << *it << ": cannot be read\n";
            return ctl_usage;
        }
        story.read(file);
    }
    auto const lines = story.format_lines();
    for (auto const& line : lines)
        std::cout << line << '\n';
    if (lines.empty())
        std::cerr << "no line bears the id " << arguments.front() << '\n';
    return lines.empty() ? ctl_refused : ctl_done;
}

} // namespace

int run_explain(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    if (std::find(arguments.begin(), arguments.end(), lines_flag) !=
        arguments.end())
        return explain_from_lines(arguments);
    auto parsed = parse_ctl(arguments, environment, "PROGRAM");
    if (parsed.value.help)
    {
        std::cout << ctl_help("walnutmill explain [FLAGS] PROGRAM\n       "
                              "walnutmill explain ID --lines FILE...");
        return ctl_done;
    }
    for (auto const& one : parsed.problems.items())
        std::cerr << one.place << ": " << one.message << '\n';
    if (!parsed.problems.empty())
        return ctl_usage;
    parsed.value.text = "explain program " + parsed.value.text;
    return send_to_node(parsed.value);
}

} // namespace walnutmill
