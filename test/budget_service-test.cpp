#include "entry/budget_service.hpp"
#include "entry/caller_link.hpp"
#include "entry/partitions.hpp"

#include "fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two nodes with a shared store, connected over loopback TCP: the coordinator
/// serves, the requester sends requests.
struct budget_service_fixture
{
    asio::io_context io;
    fake_store store;
    manual_clock clock;
    program_ledger coordinator_ledger{
        store.calls(), clock.fn(), "coordinator.1"};
    program_ledger requester_ledger{store.calls(), clock.fn(), "requester.1"};
    budget_service coordinator{
        io,
        coordinator_ledger,
        clock.fn(),
        "coordinator",
        "coordinator.1",
        {milliseconds(150), milliseconds(20)}};
    /// With a timeout that does not expire on a busy machine.
    budget_service_options patient_options{seconds(20), milliseconds(20)};
    budget_service requester{
        io, requester_ledger, clock.fn(), "requester", "requester.1"};
    budget_service patient_requester{
        io,          requester_ledger, clock.fn(),
        "requester", "requester.1",    patient_options};
    bool store_responds = true;
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    program_id program;
    bool coordinator_replies = true;
    int settlements = 0;
    int admissions = 0;

    budget_service_fixture()
    {
        std::vector<coordinator_candidate> const others{
            {"coordinator",
             "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}};
        requester.set_nodes(others);
        patient_requester.set_nodes(others);
        program_coordinators const coordinators = [this]
        {
            program_coordinators one("requester");
            one.set_nodes({{"coordinator", "x:1"}});
            return one;
        }();
        for (int i = 0; program.empty() || coordinators.coordinator_of(
                                               partition_of(program.str()),
                                               clock.now()) == nullptr;
             ++i)
            program = program_id("p" + std::to_string(i));
        accept();
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost::system::error_code const& error, tcp::socket socket)
            {
                if (error)
                    return;
                caller_link::hooks hooks;
                hooks.on_request = [this](
                                       std::shared_ptr<caller_link> const& link,
                                       caller_link::request_type&& request)
                { serve(link, request); };
                hooks.refuse = [](int, std::string_view)
                { return std::string(); };
                hooks.limits = [] { return caller_limits(); };
                hooks.on_end = [](caller_link*) {};
                std::make_shared<caller_link>(std::move(socket), hooks)
                    ->start();
                accept();
            });
    }

    void serve(
        std::shared_ptr<caller_link> const& link,
        caller_link::request_type const& request)
    {
        std::string const target(request.target());
        if (target == "/budget/settle")
            ++settlements;
        else
            ++admissions;
        if (!coordinator_replies)
            return;
        coordinator.serve(
            target, request.body(),
            [link](int status, std::string const& body)
            {
                link->write(
                    "HTTP/1.1 " + std::to_string(status) +
                    " X\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
                link->finish_answer();
            });
    }

    /// Runs the event loop and the store until the condition holds; fails after
    /// 20 s.
    template<class Condition>
    void run_until(Condition const& holds)
    {
        auto const end = std::chrono::steady_clock::now() + seconds(20);
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(2));
            io.restart();
            if (store_responds)
                store.run();
        }
        REQUIRE(holds());
    }

    std::pair<admission_answer, budget_service::grant>
    request_turn(std::uint64_t budget, bool only_begun = false)
    {
        std::pair<admission_answer, budget_service::grant> to;
        bool answered = false;
        requester.admit(
            {program, budget, 572, only_begun},
            [&](admission_answer answer, budget_service::grant grant)
            {
                to = {answer, std::move(grant)};
                answered = true;
            });
        run_until([&] { return answered; });
        return to;
    }

    /// \return the tokens reserved in the program's account over all nodes.
    std::uint64_t reserved() const
    {
        auto const* row = store.find(
            {program_ledger::table(), partition_of(program.str()),
             program.str()});
        REQUIRE(row != nullptr);
        return decode_account(row->value).value().reserved_by_others("");
    }
};

} // namespace

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a turn is admitted and settled at the coordinator")
{
    auto const [answer, grant] = request_turn(900);
    CHECK(answer == admission_answer::admitted);
    CHECK(grant.coordinator == "coordinator");
    CHECK(coordinator_ledger.is_tracking(program));
    CHECK_FALSE(requester_ledger.is_tracking(program));
    requester.settle(grant, 264);
    run_until([&] { return settlements == 1; });
    // 264 of 900 tokens are spent: one more turn fits, two do not.
    CHECK(request_turn(900).first == admission_answer::admitted);
    CHECK(request_turn(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    budget_service_fixture, "budget desk: a repeated settlement counts once")
{
    auto const first = request_turn(900).second;
    requester.settle(first, 22);
    auto const second = request_turn(900);
    REQUIRE(second.first == admission_answer::admitted);
    requester.settle(first, 22);
    run_until([&] { return settlements == 2; });
    // The second turn is in progress, so a third does not fit.
    CHECK(request_turn(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a node uses the store if the coordinator does not reply")
{
    coordinator_replies = false;
    auto const [answer, grant] = request_turn(900);
    CHECK(answer == admission_answer::admitted);
    CHECK(grant.coordinator.empty());
    CHECK(requester_ledger.is_tracking(program));
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a program that has not started may be rejected")
{
    CHECK(request_turn(2'600, true).first == admission_answer::not_begun);
    CHECK(store.commits() == 0);
    REQUIRE(request_turn(2'600).first == admission_answer::admitted);
    CHECK(request_turn(2'600, true).first == admission_answer::admitted);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: an unsettled turn counts as its maximum")
{
    REQUIRE(request_turn(900).first == admission_answer::admitted);
    clock.advance(seconds(60));
    coordinator.tick();
    coordinator_ledger.tick();
    store.run();
    CHECK(request_turn(900).first == admission_answer::exhausted);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a node waits for a coordinator that waits for the store")
{
    store_responds = false;
    std::vector<budget_service::grant> grants;
    patient_requester.admit(
        {program, 900, 572, false},
        [&](admission_answer answer, budget_service::grant const& grant)
        {
            CHECK(answer == admission_answer::admitted);
            grants.push_back(grant);
        });
    // Repeated requests count as one admission.
    run_until([&] { return admissions >= 4; });
    CHECK(grants.empty());
    store_responds = true;
    run_until([&] { return !grants.empty(); });
    CHECK(grants.front().coordinator == "coordinator");
    CHECK_FALSE(requester_ledger.is_tracking(program));
    CHECK(store.commits() == 1);
    patient_requester.settle(grants.front(), 264);
    run_until([&] { return settlements == 1; });
    CHECK(request_turn(900).first == admission_answer::admitted);
    CHECK(request_turn(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    budget_service_fixture, "budget desk: an abandoned admission is released")
{
    store_responds = false;
    auto answered = false;
    patient_requester.admit(
        {program, 900, 572, false},
        [&](admission_answer, budget_service::grant const&)
        { answered = true; });
    run_until([&] { return admissions >= 2; });
    // The settlement reports that the requester continued without a reply.
    patient_requester.settle(
        {program, 572, "requester.1/1", "coordinator",
         "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())},
        0);
    run_until([&] { return settlements == 1; });
    store_responds = true;
    run_until([&] { return coordinator_ledger.busy() == false; });
    CHECK(request_turn(900).first == admission_answer::admitted);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a fallback node reserves only a turn's maximum")
{
    coordinator_replies = false;
    REQUIRE(request_turn(9'000).first == admission_answer::admitted);
    CHECK(reserved() == 572);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: without known peers only a turn's maximum is reserved")
{
    budget_service starting_node{
        io, requester_ledger, clock.fn(), "requester", "requester.1"};
    starting_node.admit(
        {program, 9'000, 572, false, false},
        [](admission_answer, budget_service::grant const&) {});
    store.run();
    CHECK(reserved() == 572);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a single node is the coordinator and reserves ahead")
{
    budget_service single_node{
        io, requester_ledger, clock.fn(), "requester", "requester.1"};
    single_node.set_nodes({});
    single_node.admit(
        {program, 9'000, 572, false, false},
        [](admission_answer, budget_service::grant const&) {});
    store.run();
    CHECK(reserved() == 4'500);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: the coordinator is told that a turn is kept")
{
    auto answered = false;
    requester.admit(
        {program, 4'000, 572, false, false, true},
        [&](admission_answer, budget_service::grant const&)
        { answered = true; });
    run_until([&] { return answered; });
    CHECK(reserved() == 572);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: the coordinator reports where a prompt is cached")
{
    auto const first = request_turn(2'600).second;
    CHECK(first.cache_locations.empty());
    engine_ref const engine(target_name("e1"), engine_incarnation{1'000});
    requester.settle(first, 22, prefix_cache_location{"line", 700, engine});
    run_until([&] { return settlements == 1; });
    auto const second = request_turn(2'600).second;
    REQUIRE(second.cache_locations.size() == 1);
    CHECK(second.cache_locations[0].part == "line");
    CHECK(second.cache_locations[0].tokens == 700);
    CHECK(second.cache_locations[0].engine == engine);
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a coordinator reports its own turns, too")
{
    budget_service::grant own;
    bool answered = false;
    coordinator.admit(
        {program, 2'600, 572},
        [&](admission_answer, budget_service::grant grant)
        {
            own = std::move(grant);
            answered = true;
        });
    run_until([&] { return answered; });
    coordinator.settle(
        own, 22, prefix_cache_location{"line", 700, target_name("e1")});
    auto const reported = request_turn(2'600).second.cache_locations;
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].engine == engine_ref(target_name("e1")));
}

TEST_CASE_METHOD(
    budget_service_fixture,
    "budget desk: a turn without a known location reports none")
{
    auto const first = request_turn(2'600).second;
    requester.settle(first, 0);
    run_until([&] { return settlements == 1; });
    CHECK(request_turn(2'600).second.cache_locations.empty());
}
