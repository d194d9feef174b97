/// \file
/// CBOR of other processes that is nested deeply or states impossible lengths:
/// decoders refuse it, without an exception and within any stack.

#include "entry/cluster_section.hpp"
#include "entry/crash_message.hpp"
#include "entry/load_summary.hpp"
#include "entry/origin_message.hpp"
#include "entry/quota_message.hpp"
#include "entry/version_register.hpp"
#include "gossip_codec.hpp"
#include "peer_frame.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/record.hpp>
#include <walnutmill/start_lease.hpp>
#include <walnutmill/turn_history.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace walnutmill;

/// Valid prefixes of messages, so that the nesting begins in a field.
std::string const load_prefix("\x87\xf5\x62n1", 5);

std::vector<std::string> odd_bytes()
{
    constexpr std::size_t levels = 200'000;
    std::string maps;
    for (std::size_t i = 0; i < levels; ++i)
        maps += "\xa1\x61\x61";
    std::vector<std::string> all{
        std::string(levels, '\x81'),
        maps,
        std::string(levels, '\x9f'),
        std::string(levels, '\x5f'),
        std::string(levels, '\x7f'),
        std::string(levels, '\xc1'),
        load_prefix + std::string(levels, '\x81'),
        std::string("\x83\x65quota", 7) + std::string(levels, '\x81')};
    for (auto const* length :
         {"\x7f\xff\xff\xff\xff\xff\xff\xff",
          "\x0f\xff\xff\xff\xff\xff\xff\xff",
          "\xff\xff\xff\xff\xff\xff\xff\xfe",
          "\xff\xff\xff\xff\xff\xff\xff\xff"})
    {
        for (char const type : {'\x5b', '\x7b', '\x9b', '\xbb'})
        {
            all.push_back(type + std::string(length));
            all.push_back(load_prefix + type + std::string(length));
        }
    }
    return all;
}

using decode_fn = std::function<bool(std::string const&)>;

std::map<std::string, decode_fn> const decoders{
    {"configuration row", [](auto const& bytes)
     { return decode_configuration_row(bytes).has_value(); }},
    {"engines",
     [](auto const& bytes) { return decode_engine_list(bytes).has_value(); }},
    {"members",
     [](auto const& bytes) { return decode_member_list(bytes).has_value(); }},
    {"sections",
     [](auto const& bytes) { return decode_peer_sections(bytes).has_value(); }},
    {"query",
     [](auto const& bytes) { return decode_section_query(bytes).has_value(); }},
    {"crashes", [](auto const& bytes)
     { return decode_crash_message(bytes, time_point()).has_value(); }},
    {"loads",
     [](auto const& bytes) { return decode_load_message(bytes).has_value(); }},
    {"origin", [](auto const& bytes)
     { return decode_origin_message(bytes).has_value(); }},
    {"quota",
     [](auto const& bytes) { return decode_quota_message(bytes).has_value(); }},
    {"versions", [](auto const& bytes)
     { return decode_registered_versions(bytes).has_value(); }},
    {"account",
     [](auto const& bytes) { return decode_account(bytes).has_value(); }},
    {"lease",
     [](auto const& bytes) { return decode_lease(bytes).has_value(); }},
    {"turn", [](auto const& bytes)
     { return decode_turn(request_id("t1"), bytes) != nullptr; }},
    {"frame",
     [](auto const& bytes) { return detail::decode_frame(bytes).has_value(); }},
    {"gossip", [](auto const& bytes)
     { return detail::decode_gossip(bytes).has_value(); }},
    {"records",
     [](auto const& bytes) { return decode_records(bytes).has_value(); }}};

} // namespace

TEST_CASE("cbor: deep nesting and impossible lengths are refused")
{
    std::string const name = GENERATE(
        "configuration row", "engines", "members", "sections", "query",
        "crashes", "loads", "origin", "quota", "versions", "account", "lease",
        "turn", "frame", "gossip", "records");
    for (auto const& bytes : odd_bytes())
    {
        INFO(
            name << ", " << bytes.size() << " bytes, first "
                 << int(static_cast<unsigned char>(bytes[0])));
        bool decoded = true;
        CHECK_NOTHROW(decoded = decoders.at(name)(bytes));
        CHECK_FALSE(decoded);
    }
}
