#include "cli_check.hpp"

#include <walnutmill/configuration.hpp>
#include <walnutmill/settings.hpp>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace walnutmill
{
namespace
{

namespace po = boost::program_options;

constexpr int exit_sound = 0;
constexpr int exit_findings = 2;

struct check_arguments
{
    std::string file;
    std::vector<std::string> settings;
};

// Flags other than --configuration are those of `serve`.
check_arguments split(std::vector<std::string> const& arguments)
{
    check_arguments split;
    po::options_description own;
    own.add_options()("configuration", po::value(&split.file));
    auto const parsed = po::command_line_parser(arguments)
                            .options(own)
                            .allow_unregistered()
                            .run();
    split.settings =
        po::collect_unrecognized(parsed.options, po::include_positional);
    po::variables_map values;
    po::store(parsed, values);
    po::notify(values);
    return split;
}

std::size_t print(findings const& problems, std::string const& source)
{
    for (auto const& one : problems.items())
        std::cout << source << one.place << ": " << one.message << '\n';
    return problems.items().size();
}

std::size_t check_document(std::string const& name)
{
    std::ifstream file(name);
    if (!file)
    {
        std::cout << "--configuration: cannot read " << name << '\n';
        return 1;
    }
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    return print(parse_configuration(text).problems, name + " ");
}

} // namespace

int run_check(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    check_arguments given;
    try
    {
        given = split(arguments);
    }
    catch (po::error const& e)
    {
        std::cout << "flags: " << e.what() << '\n';
        return exit_findings;
    }
    auto const parsed = parse_serve_settings(given.settings, environment);
    if (parsed.help)
    {
        std::cout << "usage: walnutmill check [--configuration FILE] [flags "
                     "of serve]\n\n"
                  << serve_help();
        return exit_sound;
    }
    auto found = print(parsed.problems, "");
    if (!given.file.empty())
        found += check_document(given.file);
    std::cout << found << " findings\n";
    return found == 0 ? exit_sound : exit_findings;
}

} // namespace walnutmill
