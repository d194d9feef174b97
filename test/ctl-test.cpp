#include "cli_check.hpp"
#include "ctl.hpp"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>

using namespace walnutmill;
using nlohmann::json;

namespace
{

refusal broken_link(certainty ran)
{
    refusal why;
    why.code = errc::unavailable;
    why.ran = ran;
    why.message = "link broke";
    return why;
}

struct scripted_node
{
    std::vector<result<http_reply>> replies;
    std::vector<json> bodies;
    std::ostringstream out;
    std::ostringstream err;

    int send(ctl_settings const& settings)
    {
        return send_statement(
            settings,
            [this](std::string const& body)
            {
                bodies.push_back(json::parse(body));
                auto reply = replies.front();
                replies.erase(replies.begin());
                return reply;
            },
            out, err);
    }
};

} // namespace

TEST_CASE("ctl flags, with environment, give way to flags", "[ctl]")
{
    std::vector<std::string> const environment{
        "WALNUTMILL_TOKEN=t", "WALNUTMILL_URL=http://a:1"};
    auto const parsed = parse_ctl(
        {"--json", "--url", "http://b:2", "show", "targets"}, environment,
        "STATEMENT");
    CHECK(parsed.problems.empty());
    CHECK(parsed.value.url == "http://b:2");
    CHECK(parsed.value.token == "t");
    CHECK(parsed.value.text == "show targets");
    CHECK(parsed.value.json);
    CHECK(parse_ctl({}, {}, "STATEMENT").problems.items().size() == 2);
    CHECK_FALSE(parse_ctl({"--colour", "x"}, {}, "S").problems.empty());
    CHECK_FALSE(
        parse_ctl({"--file", "/none", "x"}, environment, "S").problems.empty());
    CHECK(ctl_help("walnutmill ctl").find("--dry-run") != std::string::npos);
}

TEST_CASE_METHOD(
    scripted_node, "ctl, whose answer is lost, repeats the same command",
    "[ctl]")
{
    replies = {
        broken_link(certainty::outcome_unknown),
        http_reply{200, R"({"result":"command x done"})"}};
    ctl_settings settings;
    settings.text = "drain e1";
    CHECK(send(settings) == ctl_done);
    REQUIRE(bodies.size() == 2);
    CHECK(bodies[0] == bodies[1]);
    CHECK(bodies[0]["command_id"].get<std::string>().size() > 30);
    CHECK(out.str() == "command x done\n");
}

TEST_CASE_METHOD(
    scripted_node, "ctl, without an answer, tells the id to use again", "[ctl]")
{
    replies.assign(3, broken_link(certainty::outcome_unknown));
    ctl_settings settings;
    settings.command_id = "mine";
    CHECK(send(settings) == ctl_unknown);
    CHECK(err.str().find("--command-id mine") != std::string::npos);
}

TEST_CASE_METHOD(
    scripted_node, "ctl, refused, shows code, certainty and wait", "[ctl]")
{
    replies = {
        http_reply{503, R"({"error":{"code":"unavailable","ran":"not_run",
                 "message":"not ready","retry_after_ms":250}})"}};
    CHECK(send({}) == ctl_refused);
    CHECK(
        err.str() == "unavailable (not_run): not ready\ncome back in 250 ms\n");
    replies = {http_reply{502, "<html>"}};
    CHECK(send({}) == ctl_unknown);
}

TEST_CASE("check, of settings and document, lists all findings", "[ctl]")
{
    std::ostringstream shown;
    auto* const before = std::cout.rdbuf(shown.rdbuf());
    auto const examples =
        std::string(WALNUTMILL_SOURCE_DIR) + "/docs/examples/";
    auto const bad = run_check(
        {"--colour", "red", "--lease-ms", "x", "--configuration", "/none"}, {});
    auto const told = shown.str();
    auto const help = run_check({"--help"}, {});
    auto const document =
        run_check({"--configuration", examples + "corrib.json"}, {});
    std::cout.rdbuf(before);
    CHECK(bad == 2);
    CHECK(told.find("colour") != std::string::npos);
    CHECK(told.find("lease-ms") != std::string::npos);
    CHECK(told.find("cannot read /none") != std::string::npos);
    CHECK(help == 0);
    // Settings that have no default are findings; the document has none.
    CHECK(document == 2);
    CHECK(shown.str().find("corrib.json /") == std::string::npos);
}
