#include "cli_entry.hpp"

#include "entry/entry_node.hpp"
#include "entry/entry_settings.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace walnutmill
{
namespace
{

constexpr int exit_listen = 1;
constexpr int exit_settings = 2;

void print_help()
{
    std::cout << "usage: walnutmill entry [FLAGS]\n\n"
                 "Serves callers before the platform's engines.\n\n";
    for (auto const& one : list_entry_settings())
    {
        std::cout << "  --" << one.name << "  (" << one.variable << ")\n"
                  << "      " << one.help << '\n';
    }
    std::cout << "  --check\n      check the settings and end\n";
}

bool take_flag(std::vector<std::string>& arguments, std::string const& flag)
{
    auto const found = std::find(arguments.begin(), arguments.end(), flag);
    if (found == arguments.end())
        return false;
    arguments.erase(found);
    return true;
}

} // namespace

int run_entry(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    auto flags = arguments;
    if (take_flag(flags, "--help"))
    {
        print_help();
        return 0;
    }
    auto const check_only = take_flag(flags, "--check");
    findings problems;
    auto const settings = read_entry_settings(flags, environment, problems);
    for (auto const& one : problems.items())
        std::cerr << one.place << ": " << one.message << '\n';
    if (!problems.empty())
        return exit_settings;
    if (check_only)
    {
        std::cout << "settings are sound\n";
        return 0;
    }
    // A caller or engine that closes first must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    entry_node node(
        settings, [flags, environment](findings& found)
        { return read_entry_settings(flags, environment, found); });
    return node.run() ? 0 : exit_listen;
}

} // namespace walnutmill
