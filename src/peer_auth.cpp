#include "peer_auth.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

/// Raised when the meaning of a frame changes; a node speaks all versions
/// from the oldest to its own.
constexpr std::uint32_t own_version = 1;
constexpr std::uint32_t oldest_version = 1;
constexpr std::size_t nonce_bytes = 32;

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("no random bytes to be had");
    return {bytes.begin(), bytes.end()};
}

json binary(std::string_view bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string to_text(json const& message)
{
    auto const bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

json from_text(std::string_view message)
{
    return decode_cbor(message);
}

std::string bytes_of(json const& message, char const* key)
{
    if (!message.is_object() || !message.contains(key))
        return "";
    auto const& member = message[key];
    if (!member.is_binary())
        return "";
    return {member.get_binary().begin(), member.get_binary().end()};
}

std::uint32_t version_of(json const& message)
{
    if (!message.is_object() || !message.contains("v"))
        return 0;
    auto const& member = message["v"];
    return member.is_number_unsigned() ? member.get<std::uint32_t>() : 0;
}

bool same_bytes(std::string_view a, std::string_view b)
{
    // In constant time, so that a MAC cannot be guessed byte by byte.
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

mac_bytes hmac_sha256(std::string_view key, std::string_view text)
{
    mac_bytes made{};
    unsigned int length = made.size();
    HMAC(
        EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<unsigned char const*>(text.data()), text.size(),
        made.data(), &length);
    return made;
}

std::string frame_seal::next_mac(std::string_view body)
{
    std::string text;
    text.reserve(sizeof(number_) + body.size());
    for (unsigned shift = 0; shift < 64; shift += 8)
        text += static_cast<char>(number_ >> shift & 0xff);
    text += body;
    ++number_;
    auto const mac = hmac_sha256(key_, text);
    return {mac.begin(), mac.begin() + overhead};
}

std::string frame_seal::seal(std::string_view body)
{
    auto frame = next_mac(body);
    frame += body;
    return frame;
}

std::optional<std::string_view> frame_seal::open(std::string_view frame)
{
    if (frame.size() < overhead)
        return std::nullopt;
    auto const body = frame.substr(overhead);
    if (!same_bytes(next_mac(body), frame.substr(0, overhead)))
        return std::nullopt;
    return body;
}

peer_handshake::peer_handshake(
    bool is_client, std::string key, std::string address)
    : is_client_(is_client), key_(std::move(key)), address_(std::move(address))
{
}

peer_handshake peer_handshake::client(std::string key, std::string address)
{
    peer_handshake made(true, std::move(key), std::move(address));
    made.client_version_ = own_version;
    made.client_nonce_ = make_nonce();
    made.dialled_ = made.address_;
    return made;
}

peer_handshake peer_handshake::server(std::string key, std::string address)
{
    return {false, std::move(key), std::move(address)};
}

std::string peer_handshake::hello() const
{
    json message;
    message["v"] = client_version_;
    message["nonce"] = binary(client_nonce_);
    message["to"] = binary(dialled_);
    return to_text(message);
}

std::optional<std::string> peer_handshake::take(std::string_view message)
{
    if (state_ != handshake_state::under_way)
        return std::nullopt;
    if (is_client_)
        return take_answer(message);
    if (client_nonce_.empty())
        return take_hello(message);
    take_proof(message);
    return std::nullopt;
}

std::optional<std::string> peer_handshake::take_hello(std::string_view message)
{
    auto const hello = from_text(message);
    client_version_ = version_of(hello);
    client_nonce_ = bytes_of(hello, "nonce");
    dialled_ = bytes_of(hello, "to");
    if (client_nonce_.size() != nonce_bytes)
        fail("malformed hello");
    else if (client_version_ < oldest_version)
        fail("protocol version is too old");
    else if (!address_.empty() && dialled_ != address_)
        fail("meant for another address");
    if (state_ == handshake_state::failed)
        return std::nullopt;
    server_version_ = own_version;
    server_nonce_ = make_nonce();
    json answer;
    answer["v"] = server_version_;
    answer["nonce"] = binary(server_nonce_);
    answer["proof"] = binary(derive("server"));
    return to_text(answer);
}

std::optional<std::string> peer_handshake::take_answer(std::string_view message)
{
    auto const answer = from_text(message);
    server_version_ = version_of(answer);
    server_nonce_ = bytes_of(answer, "nonce");
    if (server_nonce_.size() != nonce_bytes)
        fail("malformed answer");
    else if (server_version_ < oldest_version)
        fail("protocol version is too old");
    else if (!same_bytes(bytes_of(answer, "proof"), derive("server")))
        fail("the other end does not hold the key");
    if (state_ == handshake_state::failed)
        return std::nullopt;
    state_ = handshake_state::proved;
    json proof;
    proof["proof"] = binary(derive("client"));
    return to_text(proof);
}

void peer_handshake::take_proof(std::string_view message)
{
    auto const proof = bytes_of(from_text(message), "proof");
    if (same_bytes(proof, derive("client")))
        state_ = handshake_state::proved;
    else
        fail("the other end does not hold the key");
}

std::string peer_handshake::derive(std::string_view label) const
{
    // CBOR gives each part its length, so that no two sequences of parts
    // have the same text.
    json parts = json::array();
    parts.push_back(label);
    parts.push_back(client_version_);
    parts.push_back(server_version_);
    parts.push_back(binary(client_nonce_));
    parts.push_back(binary(server_nonce_));
    parts.push_back(binary(dialled_));
    auto const mac = hmac_sha256(key_, to_text(parts));
    return {mac.begin(), mac.end()};
}

void peer_handshake::fail(std::string reason)
{
    state_ = handshake_state::failed;
    reason_ = std::move(reason);
}

frame_seal peer_handshake::outgoing() const
{
    return frame_seal(derive(is_client_ ? "from client" : "from server"));
}

frame_seal peer_handshake::incoming() const
{
    return frame_seal(derive(is_client_ ? "from server" : "from client"));
}

} // namespace detail
} // namespace walnutmill
