#include "cli_explain.hpp"

#include "ctl.hpp"

#include <iostream>

namespace walnutmill
{

int run_explain(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    auto parsed = parse_ctl(arguments, environment, "PROGRAM");
    if (parsed.value.help)
    {
        std::cout << ctl_help("walnutmill explain [FLAGS] PROGRAM");
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
