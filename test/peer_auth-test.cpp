#include "peer_auth.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace walnutmill::detail;

namespace
{

constexpr char const* key = "0123456789abcdef";
constexpr char const* here = "127.0.0.1:9";

struct handshake_fixture
{
    peer_handshake client = peer_handshake::client(key, here);
    peer_handshake server = peer_handshake::server(key, here);
    std::string hello = client.hello();
    std::string answer;
    std::string proof;

    void run()
    {
        answer = server.take(hello).value_or("");
        proof = client.take(answer).value_or("");
        server.take(proof);
    }
};

} // namespace

TEST_CASE("hmac, of RFC 4231 case 2, has its value", "[peer_auth]")
{
    auto const mac = hmac_sha256("Jefe", "what do ya want for nothing?");
    CHECK(mac[0] == 0x5b);
    CHECK(mac[1] == 0xdc);
    CHECK(mac[31] == 0x43);
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, same key, both ends prove", "[peer_auth]")
{
    run();
    CHECK(client.state() == handshake_state::proved);
    CHECK(server.state() == handshake_state::proved);
    auto from_client = client.outgoing();
    auto at_server = server.incoming();
    auto const frame = from_client.seal("text");
    CHECK(at_server.open(frame).value_or("") == "text");
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, wrong key of either end, fails",
    "[peer_auth]")
{
    auto stranger = peer_handshake::server("another key, long", here);
    client.take(stranger.take(hello).value_or(""));
    CHECK(client.state() == handshake_state::failed);
    auto intruder = peer_handshake::client("another key, long", here);
    auto const proof_of_server = server.take(intruder.hello());
    CHECK(proof_of_server);
    server.take(proof_of_server.value_or(""));
    CHECK(server.state() == handshake_state::failed);
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, captured and replayed, is refused",
    "[peer_auth]")
{
    run();
    auto second = peer_handshake::server(key, here);
    CHECK(second.take(hello));
    second.take(proof);
    CHECK(second.state() == handshake_state::failed);
    auto other_client = peer_handshake::client(key, here);
    other_client.take(answer);
    CHECK(other_client.state() == handshake_state::failed);
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, passed on to another node, is refused",
    "[peer_auth]")
{
    auto elsewhere = peer_handshake::server(key, "127.0.0.1:10");
    CHECK_FALSE(elsewhere.take(hello));
    CHECK(elsewhere.state() == handshake_state::failed);
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, garbage or old version, fails",
    "[peer_auth]")
{
    for (std::string const& text :
         {std::string(), std::string("\xff\xff"), std::string("\x9f"),
          std::string(1'000, '\x81')})
    {
        auto fresh = peer_handshake::server(key, here);
        CHECK_FALSE(fresh.take(text));
        CHECK(fresh.state() == handshake_state::failed);
    }
    auto old = nlohmann::json::from_cbor(hello);
    old["v"] = 0u;
    auto const bytes = nlohmann::json::to_cbor(old);
    server.take(std::string(bytes.begin(), bytes.end()));
    CHECK(server.reason() == "protocol version is too old");
}

TEST_CASE_METHOD(
    handshake_fixture, "handshake, unknown field, is skipped", "[peer_auth]")
{
    auto message = nlohmann::json::from_cbor(hello);
    message["later"] = {{"a", 1}};
    auto const bytes = nlohmann::json::to_cbor(message);
    CHECK(server.take(std::string(bytes.begin(), bytes.end())));
}

TEST_CASE_METHOD(
    handshake_fixture, "frame, changed, repeated or skipped, does not open",
    "[peer_auth]")
{
    run();
    auto from_client = client.outgoing();
    auto const first = from_client.seal("one");
    auto const second = from_client.seal("two");
    auto changed = first;
    changed.back() = 'x';
    CHECK_FALSE(server.incoming().open(changed));
    CHECK_FALSE(server.incoming().open(second));
    CHECK_FALSE(client.incoming().open(first));
    auto at_server = server.incoming();
    CHECK(at_server.open(first));
    CHECK_FALSE(at_server.open(first));
}
