#include "sha256.hpp"

#include <array>
#include <openssl/sha.h>

namespace walnutmill
{

std::string sha256_hex(std::string_view bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned low_bits = 0xf;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(
        reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
        digest.data());
    std::string hex;
    for (auto byte : digest)
    {
        hex += digits[byte >> 4];
        hex += digits[byte & low_bits];
    }
    return hex;
}

} // namespace walnutmill
