#include <walnutmill/operate.hpp>
#include <walnutmill/target_rows.hpp>

#include "fake_table.hpp"
#include "operate_store.hpp"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace walnutmill;
using nlohmann::json;
using walnutmill::testing::fake_table;
using walnutmill::testing::table_fault;

namespace
{

char const* const document = R"({"version": 7, "zones": ["hall"],
  "targets": [
    {"name": "e1", "zone": "hall", "address": "http://h:1", "models": ["m"]},
    {"name": "e2", "zone": "hall", "address": "http://h:2", "models": ["m"]},
    {"name": "gone", "zone": "hall", "address": "http://h:3",
     "policy": "expunged", "policy_since": 3}],
  "services": [{"name": "llm", "model": "m", "targets": ["e1", "e2"]}],
  "workspaces": [{"name": "bern", "services": ["llm"]}, {"name": "basel"}]})";

// Two operators' desks at two nodes over one table.
struct desks
{
    fake_table store;
    table_service table = store.table();
    config_store configurations{store.table(), store.store()};
    std::uint64_t accepted = 0;
    std::shared_ptr<configuration const> in_force;
    int ended = 0;
    int next_id = 0;
    /// Runs once, between a desk's reading of the head and its proposal.
    std::function<void()> before_proposal;
    operator_desk desk{hooks()};

    desks()
    {
        auto const parsed = parse_configuration(document);
        REQUIRE(parsed.problems.empty());
        for (std::uint64_t version = 0; version < 7; ++version)
        {
            configuration_change change;
            change.next = parsed.value;
            change.expected_version = version;
            change.command_id = "setup-" + std::to_string(version);
            REQUIRE(configurations.change(change));
        }
        in_force = head();
    }

    std::shared_ptr<configuration const> head() const
    {
        auto const read = configurations.read_newer(0);
        REQUIRE(read);
        return read.value();
    }

    operate_hooks hooks()
    {
        operate_hooks made;
        use_store(made, configurations);
        made.propose =
            [this, plain = made.propose](configuration_proposal const& proposal)
        {
            if (before_proposal)
                std::exchange(before_proposal, nullptr)();
            return plain(proposal);
        };
        made.in_force = [this] { return in_force; };
        made.accepted_version = [this] { return accepted; };
        made.table = table;
        made.gather = [](table_kind kind) { return gather(kind); };
        made.decisions = [](program_id const& id) -> gathered_decisions
        {
            decision_entry entry;
            entry.program = id;
            entry.reason = "no slot free";
            return {{entry}, {}};
        };
        made.check_program = [](program_id const& id, workspace_name const& w)
        { return check(id, w); };
        made.end_program = [this](program_id const& id, workspace_name const& w)
        {
            ++ended;
            return check(id, w);
        };
        made.set_budget = [](program_id const& id, workspace_name const& w,
                             std::uint64_t) { return check(id, w); };
        made.now = [] { return wall_time(); };
        made.new_id = [this] { return "id-" + std::to_string(++next_id); };
        return made;
    }

    static result<void> check(program_id const& id, workspace_name const& w)
    {
        if (id == program_id("p-bern") && w == workspace_name("bern"))
            return boost::outcome_v2::success();
        refusal none;
        none.code = errc::not_found;
        return none;
    }

    static gathered_rows gather(table_kind kind)
    {
        if (kind == table_kind::targets)
            return {
                {{"name", "running"}, {{"e1", 3.0}}},
                {{node_name("n2"), false, duration(0)}}};
        return {
            {{"program", "workspace", "spent"},
             {{"p-bern", "bern", 5.0}, {"p-basel", "basel", 9.0}}},
            {}};
    }

    result<std::string>
    say(std::string const& text, std::string const& id = "",
        std::string const& workspace = "bern", bool dry_run = false) const
    {
        operator_request request;
        request.who = "ann";
        request.workspace = workspace_name(workspace);
        request.may_operate = true;
        request.text = text;
        request.command_id = id;
        request.dry_run = dry_run;
        request.json = true;
        return desk.run(request);
    }
    json answer(std::string const& text, std::string const& id = "") const
    {
        auto const said = say(text, id);
        INFO(text << (said ? "" : ": " + said.error().message));
        REQUIRE(said);
        return json::parse(said.value()).at("result");
    }
    refusal refused(
        std::string const& text, std::string const& id = "",
        std::string const& workspace = "bern") const
    {
        INFO(text);
        auto const said = say(text, id, workspace);
        REQUIRE_FALSE(said);
        return said.error();
    }
};

} // namespace

TEST_CASE_METHOD(
    desks, "order, accepted, is in force, audited and asked until done",
    "[operate]")
{
    auto const told = answer("drain e1 reason \"fan\"", "c1");
    CHECK(told["state"] == "committed");
    CHECK(told["version"] == 8);
    CHECK(
        find_target(*head(), target_name("e1"))->policy ==
        target_policy::drain);
    CHECK(find_target(*head(), target_name("e1"))->policy_since == 8);
    CHECK(find_target(*head(), target_name("e2"))->policy_since == 0);
    accepted = 8;
    CHECK(answer("show command c1")["state"] == "in_force");
    target_report report{
        target_name("e1"), target_condition::drained, "", 1, 8};
    store.set_row(target_row_key(report.target), encode_report(report));
    CHECK(answer("show command c1")["state"] == "done");
    auto const changes = answer("show changes since 7");
    REQUIRE(changes["rows"].size() == 1);
    CHECK(changes["rows"][0]["who"] == "ann");
    CHECK(changes["rows"][0]["reason"] == "fan");
    CHECK(changes["rows"][0]["before"] == 7);
    CHECK(answer("show changes since 8")["rows"].empty());
}

TEST_CASE_METHOD(
    desks, "command, repeated under its id, is done once", "[operate]")
{
    answer("drain e1", "c1");
    CHECK(answer("drain e1", "c1")["version"] == 8);
    CHECK(head()->version == 8);
    CHECK(refused("drain e2", "c1").code == errc::conflict);
    CHECK(refused("drain e1", "c1", "basel").code == errc::conflict);
    answer("end program p-bern", "c2");
    answer("end program p-bern", "c2");
    CHECK(ended == 1);
    auto const first = refused("drain nowhere", "c3");
    CHECK(first.code == errc::not_found);
    CHECK(refused("drain nowhere", "c3").message == first.message);
}

TEST_CASE_METHOD(
    desks, "order, with a fault at any step, is sent again and done once",
    "[operate]")
{
    auto const start = store.steps();
    answer("drain e1", "free");
    auto const most = store.steps() - start;
    int number = 0;
    for (auto const fault :
         {table_fault::drop_answer, table_fault::lose_request,
          table_fault::refuse})
    {
        for (std::size_t step = 1; step <= most; ++step)
        {
            INFO("step " << step << ", fault " << static_cast<int>(fault));
            auto const before = head()->version;
            auto const id = "c" + std::to_string(++number);
            auto const* text = number % 2 == 1 ? "wake e1" : "drain e1";
            store.fail_step(store.steps() + step, fault);
            auto const first = say(text, id);
            if (!first)
                CHECK(first.error().code != errc::conflict);
            answer(text, id);
            CHECK(head()->version == before + 1);
        }
    }
}

TEST_CASE_METHOD(
    desks, "loser of a race, when refused, sees both changes", "[operate]")
{
    before_proposal = [this] { answer("drain e2", "winner"); };
    auto const lost = refused("stop e2 now", "loser");
    CHECK(lost.code == errc::conflict);
    CHECK(lost.message.find("by ann: drain e2") != std::string::npos);
    CHECK(
        lost.message.find("targets/e2/policy: in_service -> stop") !=
        std::string::npos);
    CHECK(
        find_target(*head(), target_name("e2"))->policy ==
        target_policy::drain);
    auto const changes = answer("show changes");
    CHECK(changes["rows"].size() == 2);
}

TEST_CASE_METHOD(
    desks, "same command, racing at two nodes, is done once", "[operate]")
{
    before_proposal = [this] { answer("drain e1", "c1"); };
    CHECK(answer("drain e1", "c1")["version"] == 8);
    CHECK(head()->version == 8);
}

TEST_CASE_METHOD(
    desks, "order against an old version is refused with the changes",
    "[operate]")
{
    answer("drain e1");
    auto const old = refused("drain e2 at version 7");
    CHECK(old.code == errc::conflict);
    CHECK(old.message.find("version 8 by ann: drain e1") != std::string::npos);
    answer("drain e2 at version 8");
}

TEST_CASE_METHOD(desks, "dry run, of any order, changes nothing", "[operate]")
{
    auto const before = store.rows();
    auto const plan = answer("plan load model x@2 on e1 e2");
    CHECK(
        plan["changes"].get<std::string>().find(
            "targets/e1/models: [\"m\"] -> [\"m\",\"x@2\"]") !=
        std::string::npos);
    REQUIRE(say("end program p-bern", "", "bern", true));
    CHECK(ended == 0);
    CHECK(store.rows() == before);
}

TEST_CASE_METHOD(
    desks, "orders that break a rule are refused and audited", "[operate]")
{
    CHECK(refused("wake gone").code == errc::conflict);
    CHECK(refused("remove target gone").code == errc::conflict);
    CHECK(refused("remove target e1").field == "/services/0/targets/0");
    CHECK(refused("alter target e1 set zone=moon").code == errc::bad_request);
    CHECK(refused("alter target e1 set colour=red").code == errc::bad_request);
    CHECK(refused("create target e1").code == errc::conflict);
    CHECK(refused("drain e1 e9").code == errc::not_found);
    CHECK(
        refused("alter workspace basel set weight=9").code == errc::not_found);
    CHECK(head()->version == 7);
    CHECK(answer("show changes since 6")["rows"].size() == 8);
    answer("create target e3 zone=hall address=http://h:4");
    CHECK(refused("remove target e3").code == errc::conflict);
    CHECK(refused("drain").field == "text");
    CHECK(refused("drain e1", "no spaces").field == "command_id");
}

TEST_CASE_METHOD(
    desks, "document, applied whole, keeps other workspaces", "[operate]")
{
    auto next = json::parse(document);
    next["limits"] = {{"max_turns", 9}};
    next["workspaces"].erase(1);
    answer("apply configuration " + next.dump());
    CHECK(head()->limits.max_turns == 9);
    CHECK(head()->workspaces.size() == 2);
    next["workspaces"].push_back({{"name", "basel"}, {"weight", 5}});
    CHECK(
        refused("apply configuration " + next.dump()).code == errc::forbidden);
    next["colour"] = "red";
    next["zones"] = json::array({"hall", "hall"});
    auto const bad = refused("apply configuration " + next.dump());
    CHECK(bad.message.find("/colour") != std::string::npos);
    CHECK(bad.message.find("/zones") != std::string::npos);
}

TEST_CASE_METHOD(
    desks, "queries see the own workspace and who did not answer", "[operate]")
{
    CHECK(answer("show programs")["rows"].size() == 1);
    CHECK(answer("show program p-bern")["rows"][0]["spent"] == 5);
    CHECK(refused("show program p-basel").code == errc::not_found);
    CHECK(refused("explain program p-basel").code == errc::not_found);
    CHECK(refused("end program p-basel").code == errc::not_found);
    auto const why = answer("explain program p-bern");
    CHECK(why["rows"][0]["reason"] == "no slot free");
    auto const targets = answer("show targets where name = e1");
    CHECK(targets["rows"][0]["running"] == 3);
    CHECK(targets["rows"][0]["policy"] == "in_service");
    CHECK(targets["no_answer"] == json::array({"n2"}));
    auto const config = answer("show configuration").dump();
    CHECK(config.find("workspaces/bern") == std::string::npos);
    CHECK(config.find("basel") == std::string::npos);
    store.set_down(true);
    CHECK(answer("show targets")["rows"].size() == 3);
    CHECK(refused("drain e1").code == errc::store_unavailable);
}

TEST_CASE_METHOD(
    desks, "changes of another workspace are shown without their text",
    "[operate]")
{
    answer("alter workspace bern set weight=2");
    answer("drain e1");
    auto const said = say("show changes since 7", "", "basel");
    REQUIRE(said);
    auto const rows = json::parse(said.value())["result"]["rows"];
    REQUIRE(rows.size() == 2);
    CHECK(rows[0]["what"].is_null());
    CHECK(rows[1]["what"] == "drain e1");
    CHECK(rows[1]["who"].is_null());
}
