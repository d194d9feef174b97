#include "cli_serve.hpp"

#include <walnutmill/logging.hpp>
#include <walnutmill/settings.hpp>

#include "node.hpp"
#include "platform_client.hpp"
#include "stored_configuration.hpp"

#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <pplx/threadpool.h>

namespace walnutmill
{
namespace
{

constexpr int exit_cut = 1;
constexpr int exit_settings = 2;
constexpr std::chrono::seconds init_timeout{10};

std::atomic<int> stop_signals{0};

extern "C" void count_stop_signal(int)
{
    ++stop_signals;
}

void print(findings const& problems)
{
    for (auto const& one : problems.items())
        std::cerr << one.place << ": " << one.message << '\n';
}

void print(std::vector<setting_line> const& lines)
{
    for (auto const& line : lines)
    {
        char const* const origin = line.origin == setting_origin::flag ? "flag"
                                   : line.origin == setting_origin::environment
                                       ? "environment"
                                       : "built in";
        std::cout << line.name << " = " << line.value << "  (" << origin
                  << ")\n";
    }
}

int serve(serve_settings const& settings)
{
    for (;;)
    {
        auto const end = run_session(settings, stop_signals);
        if (!end)
        {
            write_log(severity::error, "node", end.error().message);
            return exit_cut;
        }
        if (end.value() == session_end::stopped)
            return 0;
        if (end.value() == session_end::stop_limit || stop_signals > 0)
            return exit_cut;
        write_log(severity::warning, "node", "beginning a new session");
    }
}

} // namespace

int run_serve(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    auto const parsed = parse_serve_settings(arguments, environment);
    if (parsed.help)
    {
        std::cout << serve_help();
        return 0;
    }
    if (!parsed.problems.empty())
    {
        print(parsed.problems);
        return exit_settings;
    }
    if (parsed.value.print_settings)
    {
        print(parsed.lines);
        return 0;
    }
    init_logging(parsed.value.log_level, parsed.value.node.str());
    crossplat::threadpool::initialize_with_threads(parsed.value.http_threads);
    std::signal(SIGTERM, count_stop_signal);
    std::signal(SIGINT, count_stop_signal);
    std::signal(SIGPIPE, SIG_IGN);
    return serve(parsed.value);
}

int run_init(
    std::vector<std::string> const& arguments, std::vector<std::string> const&)
{
    namespace po = boost::program_options;
    po::options_description options("walnutmill init [FLAGS] FILE");
    options.add_options()("help", "show this text")(
        "table-url", po::value<std::string>()->required(), "the table service")(
        "file", po::value<std::string>()->required(),
        "the configuration document");
    po::positional_options_description places;
    places.add("file", 1);
    try
    {
        po::variables_map values;
        po::store(
            po::command_line_parser(arguments)
                .options(options)
                .positional(places)
                .run(),
            values);
        if (values.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
        po::notify(values);
        std::ifstream file(values["file"].as<std::string>());
        std::string const text{std::istreambuf_iterator<char>(file), {}};
        auto const parsed = parse_configuration(text);
        if (!parsed.problems.empty())
        {
            print(parsed.problems);
            return exit_settings;
        }
        auto const table = make_table_client(
            values["table-url"].as<std::string>(), init_timeout);
        auto const written = write_first_configuration(table, parsed.value);
        if (written)
            return 0;
        std::cerr << written.error().message << '\n';
        return exit_cut;
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << '\n';
        return exit_settings;
    }
}

} // namespace walnutmill
