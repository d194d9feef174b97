#ifndef WALNUTMILL_SRC_PEER_AUTH_HPP
#define WALNUTMILL_SRC_PEER_AUTH_HPP

/// \file
/// How two nodes prove to each other that they hold the shared key, and how
/// frames are sealed afterwards. No network here.
///
/// The dialling side (client) and the listening side (server) exchange three
/// messages:
///
///     client: versions, nonce C, the address it dialled
///     server: version, nonce S, HMAC(key, "server", all of the above)
///     client: HMAC(key, "client", all of the above)
///
/// Both nonces are fresh for each connection, so a captured handshake proves
/// nothing on another one. The dialled address stops a handshake with one
/// node from being passed on to another.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{
namespace detail
{

/// HMAC-SHA256.
using mac_bytes = std::array<unsigned char, 32>;

mac_bytes hmac_sha256(std::string_view key, std::string_view text);

/// Seals or opens the frames of one direction of a link. Each frame carries
/// a MAC over its number and body; numbers are counted by both ends, so a
/// frame that is changed, repeated, left out or moved does not open.
class frame_seal
{
public:
    explicit frame_seal(std::string key) : key_(std::move(key)) {}
    /// \return the frame: MAC, then body.
    std::string seal(std::string_view body);
    /// \return the body, a view into the frame, or nullopt when it is not
    /// the next frame that the other end sealed.
    std::optional<std::string_view> open(std::string_view frame);
    /// Bytes that sealing adds to a body.
    static constexpr std::size_t overhead = 16;

private:
    std::string next_mac(std::string_view body);

    std::string key_;
    std::uint64_t number_ = 0;
};

enum class handshake_state
{
    under_way,
    proved,
    failed
};

/// One end of the handshake.
class peer_handshake
{
public:
    /// The end that dialled `address`.
    static peer_handshake client(std::string key, std::string address);
    /// The end that listens at `address`; an empty one takes handshakes for
    /// any address.
    static peer_handshake server(std::string key, std::string address);

    /// \return the client's first message.
    std::string hello() const;
    /// Takes the other end's next message.
    /// \return what to send, if anything.
    std::optional<std::string> take(std::string_view message);

    handshake_state state() const { return state_; }
    /// Why it failed.
    std::string const& reason() const { return reason_; }
    /// Seals of the two directions; once the state is `proved`.
    frame_seal outgoing() const;
    frame_seal incoming() const;

private:
    peer_handshake(bool is_client, std::string key, std::string address);
    std::optional<std::string> take_hello(std::string_view message);
    std::optional<std::string> take_answer(std::string_view message);
    void take_proof(std::string_view message);
    std::string derive(std::string_view label) const;
    void fail(std::string reason);

    bool is_client_;
    std::string key_;
    std::string address_;
    handshake_state state_ = handshake_state::under_way;
    std::string reason_;
    std::uint32_t client_version_ = 0;
    std::uint32_t server_version_ = 0;
    std::string client_nonce_;
    std::string server_nonce_;
    std::string dialled_;
};

} // namespace detail
} // namespace walnutmill

#endif
