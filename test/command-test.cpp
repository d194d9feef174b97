#include <walnutmill/command.hpp>

#include <catch2/catch.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

using namespace walnutmill;

namespace
{

template<class Query>
Query query_of(std::string_view text)
{
    auto const parsed = parse_statement(text);
    INFO(text);
    REQUIRE(parsed);
    return std::get<Query>(std::get<query>(parsed.value()));
}

order_statement order_of(std::string_view text)
{
    auto const parsed = parse_statement(text);
    INFO(text << (parsed ? "" : ": " + to_text(parsed.error())));
    REQUIRE(parsed);
    return std::get<order_statement>(parsed.value());
}

template<class Body>
Body body_of(std::string_view text)
{
    return std::get<Body>(order_of(text).body);
}

struct bad_text
{
    char const* text;
    std::size_t position;
    char const* expected;
    char const* found;
};

} // namespace

TEST_CASE("show, with every clause, keeps each", "[command]")
{
    auto const show = query_of<show_table>(
        "SHOW programs where state = waiting and waited >= 2.5s and spent<9 "
        "order by waited desc sum spent by workspace limit 3");
    CHECK(show.table == table_kind::programs);
    REQUIRE(show.where.size() == 3);
    CHECK(show.where[0].field == "state");
    CHECK(std::get<std::string>(show.where[0].value) == "waiting");
    CHECK(show.where[1].op == comparison::greater_equal);
    CHECK(std::get<duration>(show.where[1].value) == duration(2'500'000));
    CHECK(show.where[2].op == comparison::less);
    CHECK(std::get<double>(show.where[2].value) == 9);
    CHECK(show.order->field == "waited");
    CHECK(show.order->descending);
    CHECK(show.group->sum == "spent");
    CHECK(show.group->by == "workspace");
    CHECK(show.limit == 3u);
}

TEST_CASE("show, of each table and item, is that query", "[command]")
{
    for (auto const kind :
         {table_kind::targets, table_kind::programs, table_kind::services,
          table_kind::nodes, table_kind::machines, table_kind::zones,
          table_kind::links, table_kind::orders, table_kind::holds,
          table_kind::configuration, table_kind::changes})
    {
        auto const text = "show " + std::string(to_string(kind));
        CHECK(query_of<show_table>(text).table == kind);
    }
    CHECK(query_of<show_table>("show changes since 41").since == 41u);
    CHECK(
        query_of<show_program>("show program p1.2").program ==
        program_id("p1.2"));
    CHECK(query_of<show_command>("show command c-1").id == "c-1");
    CHECK(
        query_of<explain_program>("explain program p").program ==
        program_id("p"));
    CHECK(query_of<show_help>("help stop").topic == "stop");
    auto const named = query_of<show_table>(
        "show targets where name ~ \"5m\" and name != 5m-hall and name = inf "
        "and name = 1e300h");
    CHECK(std::get<std::string>(named.where[0].value) == "5m");
    CHECK(std::get<std::string>(named.where[1].value) == "5m-hall");
    CHECK(std::get<std::string>(named.where[2].value) == "inf");
    CHECK(std::get<std::string>(named.where[3].value) == "1e300h");
}

TEST_CASE("orders, of each form, keep their parts", "[command]")
{
    auto const created = body_of<create_object>(
        "create target bern-9 zone=bern-hall address=http://10.0.0.9:90 "
        "models=a,b");
    CHECK(created.kind == object_kind::target);
    CHECK(created.name == "bern-9");
    REQUIRE(created.values.size() == 3);
    CHECK(created.values[1].value == "http://10.0.0.9:90");
    CHECK(created.values[2].value == "a,b");
    auto const limits = body_of<alter_object>("alter limits set max_turns=9");
    CHECK(limits.kind == object_kind::limits);
    CHECK(body_of<remove_object>("remove zone z").name == "z");
    auto const load = body_of<change_artifact>("unload adapter x@7 from t1 t2");
    CHECK_FALSE(load.load);
    CHECK(load.kind == artifact_kind::adapter);
    CHECK(load.name == "x@7");
    CHECK(load.targets.size() == 2);
    CHECK(body_of<set_role>("set role prefill on t").role == "prefill");
    auto const budget = body_of<set_budget>("set budget 500 for p1");
    CHECK(budget.units == 500);
    CHECK(body_of<end_program>("end program p").program == program_id("p"));
    CHECK(body_of<set_policy>("wake t").policy == target_policy::in_service);
    CHECK(body_of<set_policy>("expunge t").policy == target_policy::expunged);
}

TEST_CASE("order clauses, in any sequence, are kept", "[command]")
{
    auto const stop = order_of(
        "plan stop bern-1 bern-2 now at version 7 reason \"the \\\"fan\\\"\"");
    CHECK(stop.dry_run);
    CHECK(stop.clauses.now);
    CHECK(stop.clauses.at_version == 7u);
    CHECK(stop.clauses.reason == "the \"fan\"");
    CHECK(std::get<set_policy>(stop.body).targets.size() == 2);
    auto const apply =
        order_of("apply configuration at version 3 {\"a\": [1 , 2]} ");
    CHECK(apply.clauses.at_version == 3u);
    CHECK(
        std::get<apply_configuration>(apply.body).document ==
        "{\"a\": [1 , 2]} ");
    CHECK_FALSE(order_of("drain t").dry_run);
}

TEST_CASE("a bad text is refused with place and expectation", "[command]")
{
    auto const end = "the end";
    for (auto const& bad : std::vector<bad_text>{
             {"", 0, "show, explain", end},
             {"shw targets", 0, "show, explain", "'shw'"},
             {"show", 4, "targets, programs", end},
             {"show target", 5, "targets, programs", "'target'"},
             {"show targets where", 18, "a condition", end},
             {"show targets where zone", 23, "one of =", end},
             {"show targets where zone = ", 26, "a value", end},
             {"show targets limit many", 19, "a number", "'many'"},
             {"show targets limit -1", 19, "a number", "'-1'"},
             {"show targets limt 3", 13, "the end of the", "'limt'"},
             {"drain", 5, "a name", end},
             {"drain now", 6, "a name", "'now'"},
             {"stop t reason broken", 14, "a text in", "'broken'"},
             {"stop t reason \"open", 14, "a text in", "'\"'"},
             {"load model on t", 11, "a name", "'on'"},
             {"create engine x", 7, "service, workspace", "'engine'"},
             {"create service x a", 18, "'='", end},
             {"set colour red", 4, "role or budget", "'colour'"},
             {"apply configuration 3", 20, "a JSON object", "'3'"},
             {"plan show targets", 5, "an order", "'show'"},
             {"stop t at version 99999999999999999999999", 18,
              "a version number", "'99999999999999999999999'"}})
    {
        INFO(bad.text);
        auto const parsed = parse_statement(bad.text);
        REQUIRE_FALSE(parsed);
        auto const& error = parsed.error();
        INFO(to_text(error));
        CHECK(error.position == bad.position);
        CHECK(error.expected.find(bad.expected) == 0);
        CHECK(error.found == bad.found);
    }
    CHECK_FALSE(parse_statement(std::string(max_statement_bytes + 1, 'x')));
}

TEST_CASE("help, for a topic or none, has text", "[command]")
{
    CHECK(help_text("").find("show TABLE") != std::string::npos);
    CHECK(help_text("drain") == help_text("stop"));
    CHECK(help_text("nonsense") == help_text(""));
}

TEST_CASE("texts, changed at random, are read or refused in place", "[command]")
{
    std::string const whole =
        "plan stop t \"u v\" now reason \"a \\\" b\" at version 7 "
        "show programs where waited >= 2.5s and spent<9 order by x desc sum "
        "y by z limit 3 apply configuration {\"a\": [1]}";
    boost::random::mt19937 random(7);
    auto const pick = [&](std::size_t below)
    {
        return boost::random::uniform_int_distribution<std::size_t>(
            0, below - 1)(random);
    };
    for (int i = 0; i < 5'000; ++i)
    {
        auto text = whole.substr(pick(whole.size()), pick(whole.size()));
        for (auto changes = pick(4); changes > 0 && !text.empty(); --changes)
            text[pick(text.size())] = static_cast<char>(pick(256));
        INFO("text " << i << ": " << text);
        auto const parsed = parse_statement(text);
        if (!parsed)
            CHECK(parsed.error().position <= text.size());
    }
}
