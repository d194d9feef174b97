#include "ctl.hpp"

#include <boost/program_options.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace walnutmill
{
namespace
{

namespace po = boost::program_options;
using nlohmann::json;

// Sends of one command; the node itself waits for the platform meanwhile.
constexpr int most_sends = 3;
constexpr std::chrono::seconds answer_timeout{30};

po::options_description visible_options(ctl_settings& settings)
{
    po::options_description options("flags");
    options.add_options()("help", po::bool_switch(&settings.help), "this text")(
        "url", po::value(&settings.url),
        "address of any node; WALNUTMILL_URL, else http://127.0.0.1:8080")(
        "token", po::value(&settings.token),
        "access token; WALNUTMILL_TOKEN is better, since flags are visible")(
        "json", po::bool_switch(&settings.json), "answer as JSON")(
        "dry-run", po::bool_switch(&settings.dry_run),
        "show what an order would change")(
        "command-id", po::value(&settings.command_id),
        "send again the order with this id")(
        "file", po::value<std::string>(),
        "add the text of this file to the statement");
    return options;
}

void read_environment(
    ctl_settings& settings, std::vector<std::string> const& environment)
{
    auto const take = [&](std::string const& name, std::string& into)
    {
        for (auto const& entry : environment)
        {
            if (entry.rfind(name + "=", 0) == 0)
                into = entry.substr(name.size() + 1);
        }
    };
    take("WALNUTMILL_URL", settings.url);
    take("WALNUTMILL_TOKEN", settings.token);
}

void add_file(parsed_ctl& parsed, std::string const& name)
{
    std::ifstream file(name);
    if (!file)
        return parsed.problems.add("--file", "cannot read " + name);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    parsed.value.text += " " + text;
}

std::string joined(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

void show_refusal(json const& error, std::ostream& err)
{
    err << error.value("code", "internal") << " ("
        << error.value("ran", "outcome_unknown")
        << "): " << error.value("message", "") << '\n';
    auto const wait = error.value("retry_after_ms", 0);
    if (wait > 0)
        err << "come back in " << wait << " ms\n";
}

int show_reply(
    ctl_settings const& settings, http_reply const& reply, std::ostream& out,
    std::ostream& err)
{
    auto const body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object())
    {
        show_refusal(body["error"], err);
        return ctl_refused;
    }
    if (!body.is_object() || !body.contains("result"))
    {
        err << "the node answered " << reply.status << " without a result\n";
        return ctl_unknown;
    }
    auto const& shown = body["result"];
    if (shown.is_string() && !settings.json)
        out << shown.get<std::string>();
    else if (shown.is_object() && shown.contains("changes") && !settings.json)
        out << shown["changes"].get<std::string>();
    else
        out << shown.dump(2);
    out << '\n';
    return ctl_done;
}

} // namespace

parsed_ctl parse_ctl(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment, std::string const& words)
{
    parsed_ctl parsed;
    read_environment(parsed.value, environment);
    std::vector<std::string> text;
    auto options = visible_options(parsed.value);
    options.add_options()("text", po::value(&text), "");
    po::positional_options_description places;
    places.add("text", -1);
    try
    {
        po::variables_map values;
        po::store(
            po::command_line_parser(arguments)
                .options(options)
                .positional(places)
                .run(),
            values);
        po::notify(values);
        parsed.value.text = joined(text);
        if (values.count("file") != 0)
            add_file(parsed, values["file"].as<std::string>());
    }
    catch (po::error const& e)
    {
        parsed.problems.add("flags", e.what());
    }
    if (parsed.value.help)
        return parsed;
    if (parsed.value.text.empty())
        parsed.problems.add(words, "is missing");
    if (parsed.value.token.empty())
        parsed.problems.add("WALNUTMILL_TOKEN", "is missing");
    return parsed;
}

std::string ctl_help(std::string const& usage)
{
    ctl_settings unused;
    std::ostringstream out;
    out << "usage: " << usage << "\n\n" << visible_options(unused);
    return out.str();
}

int send_statement(
    ctl_settings const& settings, post_statement_fn const& post,
    std::ostream& out, std::ostream& err)
{
    auto id = settings.command_id;
    if (id.empty())
        id = to_string(boost::uuids::random_generator()());
    json const body{
        {"text", settings.text},
        {"command_id", id},
        {"dry_run", settings.dry_run},
        {"json", settings.json}};
    auto const bytes =
        body.dump(-1, ' ', false, json::error_handler_t::replace);
    for (int sends = 1;; ++sends)
    {
        auto const reply = post(bytes);
        if (reply)
            return show_reply(settings, reply.value(), out, err);
        if (sends < most_sends)
            continue;
        err << reply.error().message << '\n';
        if (reply.error().ran != certainty::not_run)
            err << "nobody can tell whether it ran; send it again with "
                   "--command-id "
                << id << '\n';
        return ctl_unknown;
    }
}

int send_to_node(ctl_settings const& settings)
{
    std::unique_ptr<blocking_http> client;
    try
    {
        client = std::make_unique<blocking_http>(
            settings.url, answer_timeout, settings.token);
    }
    catch (std::exception const& e)
    {
        std::cerr << "--url: " << e.what() << '\n';
        return ctl_usage;
    }
    return send_statement(
        settings,
        [&](std::string const& body)
        { return client->post("/v1/operate", body); },
        std::cout, std::cerr);
}

} // namespace walnutmill
