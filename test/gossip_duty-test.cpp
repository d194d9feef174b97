#include "gossip_duty.hpp"

#include <walnutmill/peer_hub.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <memory>

using namespace walnutmill;

namespace
{

/// Only a failing test waits for it.
constexpr auto limit = std::chrono::seconds(60);

/// A node's links and its gossip. Destruction ends the gossip's thread, which
/// sends, and then the links, whose thread no longer reaches the gossip.
class gossiping_node
{
public:
    explicit gossiping_node(std::string const& name)
    {
        peer_hub_options options;
        options.key = "0123456789abcdef";
        hub_ = std::make_unique<peer_hub>(options);
        hub_->on_note(
            std::string(gossip_topic),
            [this](std::string_view bytes)
            {
                std::lock_guard<std::mutex> lock(mutex_);
                if (gossip_ != nullptr)
                    gossip_->receive(bytes);
            });
        auto const port = hub_->start();
        REQUIRE(port);
        info_.node = node_name(name);
        info_.session = session_id(name + ".1");
        info_.peer_address = "127.0.0.1:" + std::to_string(port.value());
    }
    ~gossiping_node()
    {
        std::unique_ptr<gossip_duty> ended;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            ended = std::move(gossip_);
        }
        ended.reset();
        hub_.reset();
    }
    gossiping_node(gossiping_node const&) = delete;
    gossiping_node& operator=(gossiping_node const&) = delete;

    void start(std::vector<member_info> const& known)
    {
        gossip_duty_hooks hooks;
        hooks.send = [this](std::string const& address, std::string bytes)
        { hub_->note(address, gossip_topic, std::move(bytes)); };
        hooks.self = [] { return member_update{1, 0, {}, false}; };
        hooks.known = [known] { return known; };
        hooks.on_head = [this](std::uint64_t version)
        { heard_.set_value(version); };
        gossip_duty_options options;
        options.interval = std::chrono::milliseconds(20);
        std::lock_guard<std::mutex> lock(mutex_);
        gossip_ = std::make_unique<gossip_duty>(options, info_, hooks);
    }
    member_info const& info() const { return info_; }
    gossip_duty& gossip() { return *gossip_; }
    std::uint64_t heard()
    {
        auto future = heard_.get_future();
        REQUIRE(future.wait_for(limit) == std::future_status::ready);
        return future.get();
    }

private:
    member_info info_;
    std::promise<std::uint64_t> heard_;
    std::unique_ptr<peer_hub> hub_;
    std::mutex mutex_;
    std::unique_ptr<gossip_duty> gossip_;
};

} // namespace

TEST_CASE("gossip over links, new configuration, all hear of it", "[gossip]")
{
    gossiping_node a("a");
    gossiping_node b("b");
    gossiping_node c("c");
    // Only the first is known to the others; the last knows nobody.
    c.start({});
    b.start({a.info()});
    a.start({c.info()});
    a.gossip().note_head(7);
    CHECK(b.heard() == 7);
    CHECK(c.heard() == 7);
}
