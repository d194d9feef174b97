/// \file
/// Decoding of workspaces and API keys from the platform's configuration and
/// request headers.

#include "platform/call_codec.hpp"
#include "platform/documents.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using nlohmann::json;

struct workspace_document_fixture
{
    findings problems;
    json document{
        {"version", 7},
        {"routes",
         {{{"host", "h"},
           {"prefix", "/a/"},
           {"service", "s"},
           {"public", true}}}},
        {"services", {{{"name", "s"}}}},
        {"tenants", json::array()}};
    json tenant{
        {"name", "archive"},
        {"api_keys", {"k1", "k2"}},
        {"priority", 1},
        {"rate_per_s", 3.5},
        {"burst", 7}};

    std::optional<routing_table> decode()
    {
        return platform::decode_configuration(document.dump(), problems);
    }

    bool rejects(json const& one)
    {
        problems = {};
        document["tenants"] = json::array({one});
        return !decode() && !problems.empty();
    }

    std::optional<call> decode_head(platform::request_head const& head)
    {
        problems = {};
        return platform::decode_call(head, problems);
    }
};

platform::request_head head_of_call()
{
    platform::request_head head;
    head.target("/a/x");
    head.set("Request-Id", "r1");
    return head;
}

} // namespace

TEST_CASE_METHOD(
    workspace_document_fixture, "workspace document: a valid entry is decoded")
{
    document["tenants"].push_back(tenant);
    auto const table = decode();
    REQUIRE(table);
    REQUIRE(table->workspaces);
    auto const* found = table->workspaces->find(digest_of_key("k2"));
    REQUIRE(found != nullptr);
    CHECK(found->name.str() == "archive");
    CHECK(found->rank == 1U);
    CHECK(found->limit == rate_limit{3.5, 7});
    CHECK(table->routes.front().open);
}

TEST_CASE_METHOD(
    workspace_document_fixture,
    "workspace document: omitted fields set no limit and no rank")
{
    document["tenants"].push_back({{"name", "archive"}, {"api_keys", {"k1"}}});
    auto const table = decode();
    REQUIRE(table);
    auto const* found = table->workspaces->find(digest_of_key("k1"));
    REQUIRE(found != nullptr);
    CHECK_FALSE(found->rank);
    CHECK(found->limit.unlimited());
}

TEST_CASE_METHOD(
    workspace_document_fixture,
    "workspace document: no list requires no key, an empty list admits no "
    "key")
{
    CHECK(decode()->workspaces.has_value());
    document.erase("tenants");
    CHECK_FALSE(decode()->workspaces.has_value());
}

TEST_CASE_METHOD(
    workspace_document_fixture,
    "workspace document: an invalid entry is rejected with its location")
{
    auto const with = [this](char const* field, json const& value)
    {
        auto one = tenant;
        one[field] = value;
        return one;
    };
    CHECK(rejects(with("name", "")));
    CHECK(rejects(with("name", "two\r\nlines")));
    CHECK(rejects(with("name", 4)));
    CHECK(rejects(with("rate_per_s", -1)));
    CHECK(rejects(with("rate_per_s", "many")));
    CHECK(rejects(with("burst", 1e300)));
    CHECK(rejects(with("priority", -1)));
    CHECK(rejects(with("priority", "first")));
    CHECK(rejects(with("api_keys", {"k1", 2})));
    CHECK(rejects(with("api_keys", {""})));
    CHECK(rejects(with("api_keys", {"k1", "k1", std::string(300, 'k')})));
    CHECK(rejects("archive"));
    problems = {};
    document["tenants"] = {{"name", "archive"}};
    CHECK_FALSE(decode());
    problems = {};
    document["tenants"] = json::array({tenant, with("name", "library")});
    CHECK_FALSE(decode());
    CHECK(problems.items().front().place == "configuration/tenants/1");
}

TEST_CASE_METHOD(
    workspace_document_fixture,
    "workspace document: a call's key is decoded to a digest, not sent")
{
    auto head = head_of_call();
    head.set("X-Api-Key", "k1");
    head.set("Tenant", "forged");
    head.set("X-Own", "kept");
    auto const one = decode_head(head);
    REQUIRE(one);
    CHECK(one->key == digest_of_key("k1"));
    CHECK(one->owner.empty());
    auto owned = *one;
    owned.owner = workspace_name("archive");
    auto const sent = platform::encode_request(owned, {}, "");
    CHECK(sent.find("k1") == std::string::npos);
    CHECK(sent.find("forged") == std::string::npos);
    CHECK(sent.find("Tenant: archive\r\n") != std::string::npos);
    CHECK(
        platform::encode_request(*one, {}, "").find("Tenant") ==
        std::string::npos);
}

TEST_CASE_METHOD(
    workspace_document_fixture,
    "workspace document: two keys are rejected, an oversized one has no owner")
{
    auto head = head_of_call();
    CHECK_FALSE(decode_head(head)->key);
    head.set("X-Api-Key", std::string(5'000, 'k'));
    CHECK(decode_head(head)->key == key_digest{});
    head.insert("X-Api-Key", "k1");
    CHECK_FALSE(decode_head(head));
    CHECK_FALSE(problems.empty());
}
