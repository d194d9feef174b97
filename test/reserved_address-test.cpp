#include "entry_world.hpp"

#include "entry/http_caller.hpp"

#include <catch2/catch.hpp>

namespace walnutmill
{
namespace testing
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

struct reserved_address_fixture
{
    reserved_address address;
    asio::io_context io;
    tcp::acceptor other{io, tcp::v4()};
    boost::system::error_code error;

    void listen(bool reuses)
    {
        other.set_option(tcp::acceptor::reuse_address(reuses));
        other.bind(endpoint_of(address.text()).value(), error);
        if (!error)
            other.listen(1, error);
    }
};

} // namespace

// A port that was only free a moment ago went to another process's connection
// now and then; the node did not start, and its test waited without end.
TEST_CASE_METHOD(
    reserved_address_fixture,
    "reserved address, asked for by a stranger, is refused")
{
    listen(false);
    CHECK(error == asio::error::address_in_use);
}

TEST_CASE_METHOD(
    reserved_address_fixture, "reserved address, asked for by its node, is had")
{
    listen(true);
    CHECK_FALSE(error);
}

} // namespace testing
} // namespace walnutmill
