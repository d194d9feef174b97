#include "entry/budget_desk.hpp"
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

/// Two nodes over real connections on the loopback: `home` serves, `asker`
/// asks. The store is shared.
struct desk_fixture
{
    asio::io_context io;
    fake_store store;
    manual_clock clock;
    program_ledger home_ledger{store.calls(), clock.fn(), "home.1"};
    program_ledger asker_ledger{store.calls(), clock.fn(), "asker.1"};
    budget_desk home{io,         home_ledger,
                     clock.fn(), "home",
                     "home.1",   {milliseconds(150), milliseconds(20)}};
    /// Its home may take long on a busy machine without being taken for dead.
    desk_options patient{seconds(20), milliseconds(20)};
    budget_desk asker{io, asker_ledger, clock.fn(), "asker", "asker.1"};
    budget_desk patient_asker{io,      asker_ledger, clock.fn(),
                              "asker", "asker.1",    patient};
    bool store_answers = true;
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    program_id program;
    bool home_answers = true;
    int settlements = 0;
    int admissions = 0;

    desk_fixture()
    {
        std::vector<home_candidate> const others{
            {"home",
             "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}};
        asker.set_nodes(others);
        patient_asker.set_nodes(others);
        program_homes const homes = [this]
        {
            program_homes one("asker");
            one.set_nodes({{"home", "x:1"}});
            return one;
        }();
        for (int i = 0;
             program.empty() ||
             homes.home_of(partition_of(program.str()), clock.now()) == nullptr;
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
        if (!home_answers)
            return;
        home.serve(
            target, request.body(),
            [link](int status, std::string const& body)
            {
                link->write(
                    "HTTP/1.1 " + std::to_string(status) +
                    " X\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
                link->finish_answer(false);
            });
    }

    /// Runs loop and store until the condition holds, or for long enough to
    /// tell that it never will.
    template<class Condition>
    void run_until(Condition const& holds)
    {
        auto const end = std::chrono::steady_clock::now() + seconds(20);
        while (!holds() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(2));
            io.restart();
            if (store_answers)
                store.run();
        }
        REQUIRE(holds());
    }

    std::pair<admission_answer, budget_desk::grant>
    ask(std::uint64_t budget, bool only_begun = false)
    {
        std::pair<admission_answer, budget_desk::grant> to;
        bool answered = false;
        asker.admit(
            {program, budget, 572, only_begun},
            [&](admission_answer answer, budget_desk::grant grant)
            {
                to = {answer, std::move(grant)};
                answered = true;
            });
        run_until([&] { return answered; });
        return to;
    }

    /// \return what the program's account has reserved, over all nodes.
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
    desk_fixture, "budget desk: a turn is admitted and settled at the home")
{
    auto const [answer, grant] = ask(900);
    CHECK(answer == admission_answer::admitted);
    CHECK(grant.home == "home");
    CHECK(home_ledger.knows(program));
    CHECK_FALSE(asker_ledger.knows(program));
    asker.settle(grant, 264);
    run_until([&] { return settlements == 1; });
    // 264 of 900 are spent: one turn more fits, two would not.
    CHECK(ask(900).first == admission_answer::admitted);
    CHECK(ask(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a settlement told twice counts once")
{
    auto const first = ask(900).second;
    asker.settle(first, 22);
    auto const second = ask(900);
    REQUIRE(second.first == admission_answer::admitted);
    asker.settle(first, 22);
    run_until([&] { return settlements == 2; });
    // The second turn is still open, so a third does not fit.
    CHECK(ask(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    desk_fixture,
    "budget desk: where the home does not answer the node asks the store")
{
    home_answers = false;
    auto const [answer, grant] = ask(900);
    CHECK(answer == admission_answer::admitted);
    CHECK(grant.home.empty());
    CHECK(asker_ledger.knows(program));
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a program that has not begun may be held back")
{
    CHECK(ask(2'600, true).first == admission_answer::not_begun);
    CHECK(store.commits() == 0);
    REQUIRE(ask(2'600).first == admission_answer::admitted);
    CHECK(ask(2'600, true).first == admission_answer::admitted);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a turn never settled counts as its most")
{
    REQUIRE(ask(900).first == admission_answer::admitted);
    clock.advance(seconds(60));
    home.tick();
    home_ledger.tick();
    store.run();
    CHECK(ask(900).first == admission_answer::exhausted);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a home that waits for the store is waited for")
{
    store_answers = false;
    std::vector<budget_desk::grant> grants;
    patient_asker.admit(
        {program, 900, 572, false},
        [&](admission_answer answer, budget_desk::grant const& grant)
        {
            CHECK(answer == admission_answer::admitted);
            grants.push_back(grant);
        });
    // Asked again and again, it is one admission.
    run_until([&] { return admissions >= 4; });
    CHECK(grants.empty());
    store_answers = true;
    run_until([&] { return !grants.empty(); });
    CHECK(grants.front().home == "home");
    CHECK_FALSE(asker_ledger.knows(program));
    CHECK(store.commits() == 1);
    patient_asker.settle(grants.front(), 264);
    run_until([&] { return settlements == 1; });
    CHECK(ask(900).first == admission_answer::admitted);
    CHECK(ask(900).first != admission_answer::admitted);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: an admission that nobody waits for is undone")
{
    store_answers = false;
    auto answered = false;
    patient_asker.admit(
        {program, 900, 572, false},
        [&](admission_answer, budget_desk::grant const&) { answered = true; });
    run_until([&] { return admissions >= 2; });
    // It says that it went on without the home's answer.
    patient_asker.settle(
        {program, 572, "asker.1/1", "home",
         "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())},
        0);
    run_until([&] { return settlements == 1; });
    store_answers = true;
    run_until([&] { return home_ledger.busy() == false; });
    CHECK(ask(900).first == admission_answer::admitted);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: in place of a home a turn's most is reserved")
{
    home_answers = false;
    REQUIRE(ask(9'000).first == admission_answer::admitted);
    CHECK(reserved() == 572);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: without knowing the others it takes little")
{
    budget_desk young{io, asker_ledger, clock.fn(), "asker", "asker.1"};
    young.admit(
        {program, 9'000, 572, false, false},
        [](admission_answer, budget_desk::grant const&) {});
    store.run();
    CHECK(reserved() == 572);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: alone it is home and reserves ahead")
{
    budget_desk alone{io, asker_ledger, clock.fn(), "asker", "asker.1"};
    alone.set_nodes({});
    alone.admit(
        {program, 9'000, 572, false, false},
        [](admission_answer, budget_desk::grant const&) {});
    store.run();
    CHECK(reserved() == 4'500);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: the home tells where a turn left its prompt")
{
    auto const first = ask(2'600).second;
    CHECK(first.places.empty());
    engine_ref const engine(target_name("e1"), engine_incarnation{1'000});
    asker.settle(first, 22, prompt_place{"line", 700, engine});
    run_until([&] { return settlements == 1; });
    auto const second = ask(2'600).second;
    REQUIRE(second.places.size() == 1);
    CHECK(second.places[0].part == "line");
    CHECK(second.places[0].tokens == 700);
    CHECK(second.places[0].engine == engine);
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a home tells of its own turns, too")
{
    budget_desk::grant own;
    bool answered = false;
    home.admit(
        {program, 2'600, 572},
        [&](admission_answer, budget_desk::grant grant)
        {
            own = std::move(grant);
            answered = true;
        });
    run_until([&] { return answered; });
    home.settle(own, 22, prompt_place{"line", 700, target_name("e1")});
    auto const told = ask(2'600).second.places;
    REQUIRE(told.size() == 1);
    CHECK(told[0].engine == engine_ref(target_name("e1")));
}

TEST_CASE_METHOD(
    desk_fixture, "budget desk: a turn without a known end leaves no place")
{
    auto const first = ask(2'600).second;
    asker.settle(first, 0);
    run_until([&] { return settlements == 1; });
    CHECK(ask(2'600).second.places.empty());
}
