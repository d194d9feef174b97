#include "cli_check.hpp"
#include "cli_ctl.hpp"
#include "cli_entry.hpp"
#include "cli_explain.hpp"
#include "cli_serve.hpp"

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace
{

using arguments = std::vector<std::string>;

struct subcommand
{
    std::string_view name;
    std::string_view help;
    int (*run)(arguments const&, arguments const&);
};

constexpr int exit_usage = 2;

constexpr std::array<subcommand, 6> subcommands{{
    {"entry", "serve callers on the users' platform", walnutmill::run_entry},
    {"serve", "run an entry node", walnutmill::run_serve},
    {"check", "check settings and a configuration", walnutmill::run_check},
    {"init", "write the first configuration", walnutmill::run_init},
    {"ctl", "ask and order as an operator", walnutmill::run_ctl},
    {"explain", "why a program waited or moved", walnutmill::run_explain},
}};

void print_usage(std::ostream& out)
{
    out << "usage: walnutmill SUBCOMMAND [FLAGS]\n\n";
    for (auto const& one : subcommands)
        out << "  " << one.name << "\t" << one.help << '\n';
    out << "\nwalnutmill SUBCOMMAND --help shows its flags.\n";
}

} // namespace

int main(int argc, char** argv)
{
    arguments const all(argv + 1, argv + argc);
    if (!all.empty() && all.front() == "--version")
    {
        std::cout << "walnutmill " WALNUTMILL_VERSION "\n";
        return 0;
    }
    if (!all.empty() && all.front() == "--help")
    {
        print_usage(std::cout);
        return 0;
    }
    arguments environment;
    for (char** entry = environ; *entry != nullptr; ++entry)
        environment.emplace_back(*entry);
    for (auto const& one : subcommands)
    {
        if (!all.empty() && all.front() == one.name)
            return one.run({all.begin() + 1, all.end()}, environment);
    }
    print_usage(std::cerr);
    return exit_usage;
}
