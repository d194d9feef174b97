#include "peer_sockets.hpp"

#include <walnutmill/logging.hpp>

#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <unordered_map>

namespace walnutmill
{
namespace detail
{
namespace
{

namespace asio = boost::asio;
using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;
using error_code = websocketpp::lib::error_code;

/// Enough for a handshake; raised once the other end has proved itself.
constexpr std::size_t first_message_bytes = 2'048;
constexpr std::size_t mask_bytes = 4;

/// \return the size of a WebSocket frame's header (RFC 6455, 5.2).
std::size_t header_bytes(std::size_t payload)
{
    constexpr std::size_t longest_in_7_bits = 125;
    constexpr std::size_t longest_in_16_bits = 65'535;
    if (payload <= longest_in_7_bits)
        return 2;
    return payload <= longest_in_16_bits ? 4 : 10;
}

/// A connection of either endpoint type.
class link
{
public:
    virtual ~link() = default;
    virtual void send(std::string_view message) = 0;
    virtual void ping() = 0;
    virtual void terminate() = 0;
    /// Sends small frames at once rather than waiting for more.
    virtual void set_no_delay() = 0;
    virtual std::size_t buffered() const = 0;
    virtual void set_max_message_bytes(std::size_t bytes) = 0;
};

template<class ConnectionPtr>
class link_of : public link
{
public:
    explicit link_of(ConnectionPtr connection)
        : connection_(std::move(connection))
    {
    }
    void send(std::string_view message) override
    {
        // An error means that the link is closing, which is told apart.
        connection_->send(
            message.data(), message.size(), websocketpp::frame::opcode::binary);
    }
    void ping() override
    {
        error_code ignored;
        connection_->ping("", ignored);
    }
    void set_no_delay() override
    {
        boost::system::error_code ignored;
        connection_->get_raw_socket().set_option(
            asio::ip::tcp::no_delay(true), ignored);
    }
    void terminate() override { connection_->terminate(error_code()); }
    std::size_t buffered() const override
    {
        return connection_->get_buffered_amount();
    }
    void set_max_message_bytes(std::size_t bytes) override
    {
        connection_->set_max_message_size(bytes);
    }

private:
    ConnectionPtr connection_;
};

template<class Endpoint>
void prepare(Endpoint& endpoint, asio::io_service& io)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    // The hub watches for silence itself.
    endpoint.set_pong_timeout(0);
    endpoint.set_max_message_size(first_message_bytes);
}

} // namespace

class peer_sockets::implementation
{
public:
    explicit implementation(socket_events events) : events_(std::move(events))
    {
        prepare(server_, io_);
        prepare(client_, io_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](connection_hdl handle)
                                 { take(std::move(handle)); });
    }

    result<std::uint16_t> listen(std::string const& address, std::uint16_t port)
    {
        try
        {
            server_.listen(
                asio::ip::tcp::endpoint(asio::ip::make_address(address), port));
            server_.start_accept();
            boost::system::error_code error;
            return server_.get_local_endpoint(error).port();
        }
        catch (std::exception const& error)
        {
            refusal failed;
            failed.code = errc::unavailable;
            failed.message = error.what();
            return failed;
        }
    }

    void run()
    {
        asio::io_service::work keep_running(io_);
        while (!io_.stopped())
        {
            try
            {
                io_.run();
            }
            catch (std::exception const& error)
            {
                write_log(severity::error, "peer", error.what());
            }
        }
    }

    void repeat(duration interval, std::function<void()> const& work)
    {
        timer_.expires_after(interval);
        timer_.async_wait(
            [this, interval, work](boost::system::error_code const& error)
            {
                if (error)
                    return;
                work();
                repeat(interval, work);
            });
    }

    link_id dial(std::string const& address)
    {
        error_code error;
        auto connection =
            client_.get_connection("ws://" + address + "/", error);
        if (error)
            return 0;
        auto const id = add(connection);
        connection->set_open_handler([this, id](connection_hdl const&)
                                     { open(id, true); });
        connection->set_fail_handler([this, id](connection_hdl const&)
                                     { end(id); });
        client_.connect(connection);
        return id;
    }

    void take(connection_hdl handle)
    {
        error_code error;
        auto connection = server_.get_con_from_hdl(std::move(handle), error);
        if (error)
            return;
        open(add(connection), false);
    }

    template<class ConnectionPtr>
    link_id add(ConnectionPtr const& connection)
    {
        auto const id = ++last_link_;
        links_[id] = std::make_unique<link_of<ConnectionPtr>>(connection);
        connection->set_close_handler([this, id](connection_hdl const&)
                                      { end(id); });
        connection->set_pong_handler(
            [this, id](connection_hdl const&, std::string const&)
            {
                if (links_.count(id) != 0)
                    events_.pong(id);
            });
        connection->set_message_handler(
            [this, id](connection_hdl const&, auto const& message)
            { receive(id, message->get_payload()); });
        return id;
    }

    void open(link_id id, bool dialled) const
    {
        auto* const found = find(id);
        if (found == nullptr)
            return;
        found->set_no_delay();
        events_.opened(id, dialled);
    }

    void receive(link_id id, std::string const& payload)
    {
        received_ += payload.size() + header_bytes(payload.size()) + mask_bytes;
        if (links_.count(id) != 0)
            events_.message(id, payload);
    }

    void end(link_id id)
    {
        if (links_.erase(id) != 0)
            events_.closed(id);
    }

    link* find(link_id id) const
    {
        auto const at = links_.find(id);
        return at == links_.end() ? nullptr : at->second.get();
    }

    void close(link_id id)
    {
        auto const at = links_.find(id);
        if (at == links_.end())
            return;
        auto const taken = std::move(at->second);
        links_.erase(at);
        taken->terminate();
    }

    socket_events events_;
    asio::io_service io_;
    asio::steady_timer timer_{io_};
    server_type server_;
    client_type client_;
    std::unordered_map<link_id, std::unique_ptr<link>> links_;
    link_id last_link_ = 0;
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
};

peer_sockets::peer_sockets(socket_events events)
    : impl_(std::make_unique<implementation>(std::move(events)))
{
}

peer_sockets::~peer_sockets() = default;

result<std::uint16_t>
peer_sockets::listen(std::string const& address, std::uint16_t port)
{
    return impl_->listen(address, port);
}

void peer_sockets::run()
{
    impl_->run();
}

void peer_sockets::poll()
{
    impl_->io_.poll();
}

void peer_sockets::stop()
{
    impl_->io_.stop();
}

void peer_sockets::post(std::function<void()> work)
{
    asio::post(impl_->io_, std::move(work));
}

void peer_sockets::every(duration interval, std::function<void()> const& work)
{
    impl_->repeat(interval, work);
}

link_id peer_sockets::dial(std::string const& address)
{
    return impl_->dial(address);
}

void peer_sockets::send(link_id link, std::string_view message)
{
    auto* const found = impl_->find(link);
    if (found == nullptr)
        return;
    impl_->sent_ += message.size() + header_bytes(message.size()) + mask_bytes;
    found->send(message);
}

void peer_sockets::ping(link_id link)
{
    auto* const found = impl_->find(link);
    if (found == nullptr)
        return;
    impl_->sent_ += header_bytes(0) + mask_bytes;
    found->ping();
}

void peer_sockets::close(link_id link)
{
    impl_->close(link);
}

std::size_t peer_sockets::buffered(link_id link) const
{
    auto const* const found = impl_->find(link);
    return found == nullptr ? 0 : found->buffered();
}

void peer_sockets::set_max_message_bytes(link_id link, std::size_t bytes)
{
    auto* const found = impl_->find(link);
    if (found != nullptr)
        found->set_max_message_bytes(bytes);
}

std::uint64_t peer_sockets::bytes_sent() const
{
    return impl_->sent_;
}

std::uint64_t peer_sockets::bytes_received() const
{
    return impl_->received_;
}

} // namespace detail
} // namespace walnutmill
