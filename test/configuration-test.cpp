#include <walnutmill/configuration.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>

using namespace walnutmill;
using nlohmann::json;

namespace
{

std::string example(std::string const& name)
{
    std::ifstream in(
        std::string(WALNUTMILL_SOURCE_DIR) + "/docs/examples/" + name);
    return {std::istreambuf_iterator<char>(in), {}};
}

bool has_finding(parsed_configuration const& parsed, std::string const& place)
{
    auto const& items = parsed.problems.items();
    return std::any_of(
        items.begin(), items.end(),
        [&](finding const& one) { return one.place == place; });
}

std::string nested(std::size_t depth)
{
    return R"({"zones":)" + std::string(depth, '[') + std::string(depth, ']') +
           "}";
}

} // namespace

TEST_CASE(
    "configuration, the examples, are sound and survive writing",
    "[configuration]")
{
    auto const* name = GENERATE("lesesaal.json", "corrib.json");
    INFO(name);
    auto const parsed = parse_configuration(example(name));
    for (auto const& one : parsed.problems.items())
        UNSCOPED_INFO(one.place << ": " << one.message);
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.value.zones.size() == 4);
    auto const text = to_json_text(parsed.value);
    auto const again = parse_configuration(text);
    CHECK(again.problems.empty());
    CHECK(to_json_text(again.value) == text);
}

TEST_CASE(
    "configuration, example, has the sizes of its user", "[configuration]")
{
    auto const parsed = parse_configuration(example("lesesaal.json"));
    auto const* service =
        find_service(parsed.value, service_name("findaid-llm"));
    REQUIRE(service != nullptr);
    CHECK(service->targets.size() == 12);
    auto const* target =
        find_target(parsed.value, target_name("findaid-llm-12"));
    REQUIRE(target != nullptr);
    CHECK(target->policy == target_policy::stop);
    CHECK(target->checks_fencing);
    CHECK(find_target(parsed.value, target_name("none")) == nullptr);
}

TEST_CASE(
    "configuration, many faults, all are found with their place",
    "[configuration]")
{
    auto const parsed = parse_configuration(R"({
      "version": -1, "colour": 1, "zones": ["a", "a", 7],
      "targets": [
        {"name": "e", "kind": "car", "zone": "b", "address": "e:1",
         "slots": 0, "models": "m", "checks_fencing": "yes"},
        {"name": "e", "kind": "plain", "zone": "a", "address": "http://e"}, 3],
      "services": [
        {"name": "s", "targets": ["x", "e"], "latency_weight": "big"},
        {"name": "t", "kind": "plain", "model": "m", "call_timeout_ms": 1.5}],
      "workspaces": [
        {"name": "w w", "weight": 0, "services": ["u"],
         "tokens": [{"sha256": "ab", "principal": "p", "rights": ["own"]}]}],
      "limits": {"max_turns": 0, "max_turns": 5, "nap_ms": 1}})");
    for (auto const* place :
         {"/version",
          "/colour",
          "/zones/1",
          "/zones/2",
          "/targets/0/kind",
          "/targets/0/zone",
          "/targets/0/address",
          "/targets/0/slots",
          "/targets/0/models",
          "/targets/0/checks_fencing",
          "/targets/1/name",
          "/targets/2",
          "/services/0/targets/0",
          "/services/0/model",
          "/services/0/latency_weight",
          "/services/1/model",
          "/services/1/call_timeout_ms",
          "/workspaces/0/name",
          "/workspaces/0/weight",
          "/workspaces/0/services/0",
          "/workspaces/0/tokens/0/sha256",
          "/workspaces/0/tokens/0/rights/0",
          "/limits/max_turns",
          "/limits/nap_ms"})
    {
        INFO(place);
        CHECK(has_finding(parsed, place));
    }
}

TEST_CASE(
    "configuration, optional members set, survive writing", "[configuration]")
{
    auto document = json::parse(example("corrib.json"));
    document["targets"][0]["role"] = "prefill";
    document["targets"][0]["stop_now"] = true;
    document["limits"]["weight_loads"] = 5;
    auto const parsed = parse_configuration(document.dump());
    REQUIRE(parsed.problems.empty());
    auto const again = parse_configuration(to_json_text(parsed.value));
    CHECK(again.value.targets[0].role == "prefill");
    CHECK(again.value.targets[0].stop_now);
    CHECK(again.value.limits.weight_loads == 5);
}

TEST_CASE(
    "configuration, service without its model anywhere, is a finding",
    "[configuration]")
{
    auto document = json::parse(example("corrib.json"));
    document["services"][0]["model"] = "other";
    auto const parsed = parse_configuration(document.dump());
    CHECK(has_finding(parsed, "/services/0/model"));
}

TEST_CASE(
    "configuration, token in two workspaces, is a finding", "[configuration]")
{
    auto document = json::parse(example("corrib.json"));
    document["workspaces"][1]["tokens"] = document["workspaces"][0]["tokens"];
    auto const parsed = parse_configuration(document.dump());
    CHECK(has_finding(parsed, "/workspaces/1/tokens/0/sha256"));
}

TEST_CASE(
    "configuration, text that is no document, is a finding", "[configuration]")
{
    for (std::string const& text :
         {std::string(), std::string("{"), std::string("nul"),
          std::string("null"), std::string("[1]"), std::string("\"\xff\""),
          std::string("{\"version\":1e999}"), nested(12), nested(1'000'000)})
    {
        INFO(text.substr(0, 40));
        CHECK_FALSE(parse_configuration(text).problems.empty());
    }
}

TEST_CASE(
    "configuration, example damaged at random, never throws", "[configuration]")
{
    auto const seed = std::random_device()();
    INFO("seed " << seed);
    std::mt19937 random(seed);
    auto const sound = example("lesesaal.json");
    for (int i = 0; i < 300; ++i)
    {
        auto text = sound;
        for (int k = 0; k < 3; ++k)
            text[random() % text.size()] = static_cast<char>(random());
        CHECK_NOTHROW(to_json_text(parse_configuration(text).value));
    }
}
