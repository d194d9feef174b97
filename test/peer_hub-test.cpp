#include <walnutmill/peer_hub.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace walnutmill;

namespace
{

/// Long enough on a busy machine; only a failing test waits for it.
constexpr auto limit = std::chrono::seconds(60);
constexpr char const* key = "0123456789abcdef";

/// A value that one thread sets and another waits for.
template<class T>
class awaited
{
public:
    void set(T value) { promise_.set_value(std::move(value)); }
    T get()
    {
        auto const status = future_.wait_for(limit);
        REQUIRE(status == std::future_status::ready);
        return future_.get();
    }

private:
    std::promise<T> promise_;
    std::future<T> future_ = promise_.get_future();
};

using outcome = std::shared_ptr<awaited<result<std::string>>>;

peer_hub_options options_with(std::string shared_key = key)
{
    peer_hub_options made;
    made.key = std::move(shared_key);
    made.ping_interval = std::chrono::milliseconds(50);
    made.silence_limit = std::chrono::milliseconds(500);
    return made;
}

std::string start(peer_hub& hub)
{
    auto const port = hub.start();
    REQUIRE(port);
    return "127.0.0.1:" + std::to_string(port.value());
}

outcome
ask(peer_hub& hub, std::string const& address, std::string const& topic,
    std::string body, peer_hub::event_fn event = {},
    cancel_fn* cancel = nullptr)
{
    auto made = std::make_shared<awaited<result<std::string>>>();
    auto canceler = hub.request(
        address, topic, std::move(body), std::move(event),
        [made](result<std::string> reply) { made->set(std::move(reply)); });
    if (cancel != nullptr)
        *cancel = std::move(canceler);
    return made;
}

struct hubs_fixture
{
    peer_hub asker{options_with()};
    std::unique_ptr<peer_hub> owner =
        std::make_unique<peer_hub>(options_with());
    std::string owner_address;
    /// A request under way at the owner, topic "hold".
    awaited<peer_responder> held;

    hubs_fixture()
    {
        owner->on_request(
            "echo", [](std::string_view body, peer_responder const& responder)
            { responder.reply(body); });
        owner->on_request(
            "hold", [this](std::string_view, peer_responder responder)
            { held.set(std::move(responder)); });
        owner->on_request(
            "ignore", [](std::string_view, peer_responder const&) {});
        owner_address = start(*owner);
        start(asker);
    }
};

void wait_until_gone(peer_responder const& responder)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!responder.gone() && std::chrono::steady_clock::now() < end)
        std::this_thread::yield();
    CHECK(responder.gone());
}

} // namespace

TEST_CASE_METHOD(
    hubs_fixture, "peer request, answered, reply comes back whole",
    "[peer_hub]")
{
    auto const body = std::string(1'000'000, 'a') + std::string("\0\xff", 2);
    auto const reply = ask(asker, owner_address, "echo", body)->get();
    REQUIRE(reply);
    CHECK(reply.value() == body);
    CHECK(asker.bytes_sent() > body.size());
    CHECK(asker.bytes_received() > body.size());
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, with events, all come in order before reply",
    "[peer_hub]")
{
    std::vector<std::string> events;
    auto const reply =
        ask(asker, owner_address, "hold", "",
            [&events](std::string_view body) { events.emplace_back(body); });
    auto const responder = held.get();
    CHECK_FALSE(responder.gone());
    for (int i = 0; i < 100; ++i)
        responder.event(std::to_string(i));
    responder.reply("end");
    responder.reply("a second reply is none");
    CHECK(reply->get().value() == "end");
    REQUIRE(events.size() == 100);
    CHECK(events.front() == "0");
    CHECK(events.back() == "99");
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, cancelled, ends and the owner sees it",
    "[peer_hub]")
{
    cancel_fn cancel;
    auto const reply = ask(asker, owner_address, "hold", "", {}, &cancel);
    auto const responder = held.get();
    cancel();
    auto const ended = reply->get();
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == errc::canceled);
    CHECK(ended.error().ran == certainty::outcome_unknown);
    wait_until_gone(responder);
    cancel();
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, nobody listens, did not run", "[peer_hub]")
{
    for (int i = 0; i < 2; ++i)
    {
        auto const reply = ask(asker, "127.0.0.1:1", "echo", "")->get();
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == errc::unavailable);
        CHECK(reply.error().ran == certainty::not_run);
    }
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, peer gone meanwhile, outcome is unknown",
    "[peer_hub]")
{
    auto const reply = ask(asker, owner_address, "hold", "");
    auto const responder = held.get();
    owner.reset();
    auto const ended = reply->get();
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == errc::unavailable);
    CHECK(ended.error().ran == certainty::outcome_unknown);
    CHECK(responder.gone());
    responder.reply("to nobody");
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, peer frozen, ends as outcome unknown",
    "[peer_hub]")
{
    std::promise<void> thaw;
    auto thawed = thaw.get_future().share();
    peer_hub frozen(options_with());
    frozen.on_request(
        "freeze",
        [thawed](std::string_view, peer_responder const&) { thawed.wait(); });
    auto const reply = ask(asker, start(frozen), "freeze", "")->get();
    thaw.set_value();
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == errc::unavailable);
    CHECK(reply.error().ran == certainty::outcome_unknown);
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, wrong key, is refused unrun", "[peer_hub]")
{
    peer_hub stranger(options_with("some other key, long"));
    start(stranger);
    auto const reply = ask(stranger, owner_address, "echo", "x")->get();
    REQUIRE_FALSE(reply);
    CHECK(reply.error().ran == certainty::not_run);
    CHECK(ask(asker, owner_address, "echo", "x")->get());
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, unknown topic or no answer, is refused",
    "[peer_hub]")
{
    auto const unknown = ask(asker, owner_address, "none", "")->get();
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == errc::not_found);
    CHECK(unknown.error().ran == certainty::not_run);
    auto const ignored = ask(asker, owner_address, "ignore", "")->get();
    REQUIRE_FALSE(ignored);
    CHECK(ignored.error().ran == certainty::outcome_unknown);
}

TEST_CASE_METHOD(
    hubs_fixture, "peer frame, over the bound, is refused at either end",
    "[peer_hub]")
{
    auto options = options_with();
    options.max_frame_bytes = 1'000;
    peer_hub narrow(options);
    narrow.on_request(
        "long", [](std::string_view, peer_responder const& responder)
        { responder.reply(std::string(2'000, 'a')); });
    narrow.on_request(
        "echo", [](std::string_view body, peer_responder const& responder)
        { responder.reply(body); });
    auto const address = start(narrow);
    auto const sent =
        ask(narrow, owner_address, "echo", std::string(1'001, 'a'))->get();
    REQUIRE_FALSE(sent);
    CHECK(sent.error().code == errc::too_large);
    CHECK(sent.error().ran == certainty::not_run);
    auto const answered = ask(asker, address, "long", "")->get();
    REQUIRE_FALSE(answered);
    CHECK(answered.error().code == errc::too_large);
    CHECK(answered.error().ran == certainty::ran);
    auto const received =
        ask(asker, address, "echo", std::string(100'000, 'a'))->get();
    REQUIRE_FALSE(received);
    CHECK(received.error().ran == certainty::outcome_unknown);
    CHECK(ask(asker, address, "echo", "short")->get());
}

TEST_CASE_METHOD(
    hubs_fixture, "peer requests, over the pending bound, are refused unrun",
    "[peer_hub]")
{
    auto options = options_with();
    options.max_pending_requests = 1;
    peer_hub narrow(options);
    start(narrow);
    auto const first = ask(narrow, owner_address, "hold", "");
    auto const responder = held.get();
    auto const second = ask(narrow, owner_address, "echo", "")->get();
    REQUIRE_FALSE(second);
    CHECK(second.error().code == errc::overloaded);
    CHECK(second.error().ran == certainty::not_run);
    responder.reply("late");
    CHECK(first->get());
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, over the send buffer, is refused unrun",
    "[peer_hub]")
{
    auto options = options_with();
    options.max_send_buffer_bytes = 5'000;
    peer_hub narrow(options);
    start(narrow);
    auto const body = std::string(10'000, 'a');
    auto const unopened = ask(narrow, owner_address, "echo", body)->get();
    REQUIRE_FALSE(unopened);
    CHECK(unopened.error().code == errc::overloaded);
    CHECK(ask(narrow, owner_address, "echo", "x")->get());
    auto const opened = ask(narrow, owner_address, "echo", body)->get();
    REQUIRE_FALSE(opened);
    CHECK(opened.error().code == errc::overloaded);
    CHECK(opened.error().ran == certainty::not_run);
}

TEST_CASE_METHOD(
    hubs_fixture, "peer hub, ends with requests under way, ends them all",
    "[peer_hub]")
{
    auto second = std::make_unique<peer_hub>(options_with());
    start(*second);
    auto const reply = ask(*second, owner_address, "hold", "");
    held.get();
    auto const waiting = ask(*second, "127.0.0.1:1", "echo", "");
    second.reset();
    CHECK_FALSE(reply->get());
    CHECK_FALSE(waiting->get());
}

TEST_CASE_METHOD(
    hubs_fixture, "peer request, dialled at another address than advertised",
    "[peer_hub]")
{
    auto options = options_with();
    options.advertise = "127.0.0.1:1";
    peer_hub hidden(options);
    hidden.on_request(
        "echo", [](std::string_view body, peer_responder const& responder)
        { responder.reply(body); });
    auto const reply = ask(asker, start(hidden), "echo", "x")->get();
    REQUIRE_FALSE(reply);
    CHECK(reply.error().ran == certainty::not_run);
}

TEST_CASE("peer note, sent before the link is up, arrives", "[peer_hub]")
{
    awaited<std::string> note;
    peer_hub receiver(options_with());
    receiver.on_note(
        "news",
        [&note](std::string_view body) { note.set(std::string(body)); });
    auto const address = start(receiver);
    peer_hub sender(options_with());
    start(sender);
    sender.note(address, "unknown", "x");
    sender.note(address, "news", "text");
    CHECK(note.get() == "text");
}
