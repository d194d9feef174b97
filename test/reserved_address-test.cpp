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

// Guards against a port that is only probed as free and not reserved. The
// system can assign it to another process's connection. The node then does not
// start, and its test waits forever.
TEST_CASE_METHOD(
    reserved_address_fixture,
    "reserved address, requested by another process, is refused")
{
    listen(false);
    CHECK(error == asio::error::address_in_use);
}

TEST_CASE_METHOD(
    reserved_address_fixture,
    "reserved address, requested by its node, is available")
{
    listen(true);
    CHECK_FALSE(error);
}

} // namespace testing
} // namespace walnutmill
