#include "platform/call_codec.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace
{

using namespace walnutmill;

std::optional<engine_load> load_of(std::string const& header)
{
    boost::beast::http::response_header<> head;
    head.set("Server-Load", header);
    return platform::decode_answer(head).load;
}

std::optional<std::uint32_t> machine_percent_of(std::string const& fourth)
{
    auto const load = load_of("3,1,12," + fourth);
    // A fourth item of any content must not hide the first three.
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 12);
    return load->machine_percent;
}

} // namespace

TEST_CASE("call codec: a load of three items has no machine figure")
{
    auto const load = load_of("3, 1 ,12");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 12);
    CHECK_FALSE(load->machine_percent);
}

TEST_CASE("call codec: a load is read with any number of further items")
{
    // A decoder of exactly three items lost the load of every engine that told
    // a fourth one.
    std::string header = "3,1,12";
    for (int items = 3; items <= 20; ++items)
    {
        INFO(header);
        auto const load = load_of(header);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == 12);
        CHECK(load->machine_percent.has_value() == (items > 3));
        header += items % 2 == 0 ? ",x=" + std::to_string(items) : ",250";
    }
}

TEST_CASE("call codec: a load of fewer than three items is no load")
{
    for (auto const* header : {"", "3", "3,1", ",", "3,1,", ",1,12", "3,,12"})
    {
        INFO(header);
        CHECK_FALSE(load_of(header));
    }
}

TEST_CASE("call codec: a load whose first three items are no numbers is none")
{
    for (auto const* header :
         {"a,1,12", "3,b,12", "3,1,c", "-3,1,12", "3,1,1.5", "3;1;12",
          "4294967296,1,12", "a,1,12,250", "3,b,12,250", "3,1,c,250"})
    {
        INFO(header);
        CHECK_FALSE(load_of(header));
    }
}

TEST_CASE("call codec: the fourth item of a load is the machine figure")
{
    CHECK(machine_percent_of("100") == 100U);
    CHECK(machine_percent_of("250") == 250U);
    CHECK(machine_percent_of(" 40 ") == 40U);
    CHECK(machine_percent_of("1") == 1U);
    CHECK(machine_percent_of("10000") == 10'000U);
    CHECK(machine_percent_of("250,7,eu,") == 250U);
    // Engines may tell a fraction.
    CHECK(machine_percent_of("137.5") == 138U);
    CHECK(machine_percent_of("1.2") == 1U);
}

TEST_CASE("call codec: a machine figure out of bounds counts as absent")
{
    for (auto const* fourth :
         {"", " ", "0", "10001", "4294967297", "-100", "0.5", "10000.5",
          "1.5.2", ".", "1e2", "0x64", "fast", "100%", "NaN", ",250", "250 ms"})
    {
        INFO(fourth);
        CHECK_FALSE(machine_percent_of(fourth));
    }
}
