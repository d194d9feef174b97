#include <walnutmill/query.hpp>

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

struct program_table
{
    result_table table{
        {"program", "workspace", "state", "spent", "waited"},
        {{"p1", "bern", "waiting", 30.0, duration(2'500'000)},
         {"p2", "bern", "running", 10.0, cell()},
         {"p3", "basel", "waiting", 5.0, duration(900'000)}}};

    result<result_table> ask(std::string const& clauses) const
    {
        auto const parsed = parse_statement("show programs " + clauses);
        REQUIRE(parsed);
        auto const& asked = std::get<query>(parsed.value());
        return run_query(std::get<show_table>(asked), table);
    }
    std::string names(std::string const& clauses) const
    {
        auto const answer = ask(clauses);
        REQUIRE(answer);
        std::string text;
        for (auto const& row : answer.value().rows)
            text += to_text(row.front()) + " ";
        return text;
    }
};

} // namespace

TEST_CASE_METHOD(
    program_table, "query, with conditions, keeps rows that meet all",
    "[query]")
{
    CHECK(names("") == "p1 p2 p3 ");
    CHECK(names("where state = waiting") == "p1 p3 ");
    CHECK(names("where state = waiting and waited > 1s") == "p1 ");
    CHECK(names("where waited < 1h") == "p1 p3 ");
    CHECK(names("where waited != 900ms") == "p1 p2 ");
    CHECK(names("where program ~ 3") == "p3 ");
}

TEST_CASE_METHOD(
    program_table, "query, with order, sum and limit, applies them in turn",
    "[query]")
{
    CHECK(names("order by spent limit 2") == "p3 p2 ");
    CHECK(names("order by spent desc") == "p1 p2 p3 ");
    auto const sums =
        ask("where spent >= 5 order by spent desc sum spent by workspace");
    REQUIRE(sums);
    CHECK(
        sums.value().columns ==
        std::vector<std::string>{"workspace", "spent", "count"});
    REQUIRE(sums.value().rows.size() == 2);
    CHECK(sums.value().rows[0] == table_row{"bern", 40.0, 2.0});
    auto const waits = ask("sum waited by state");
    REQUIRE(waits);
    CHECK(waits.value().rows[1][1] == cell(duration(3'400'000)));
}

TEST_CASE_METHOD(
    program_table, "query, with a wrong field or value, names the field",
    "[query]")
{
    for (auto const* clauses :
         {"where colour = red", "order by colour", "sum colour by state",
          "sum spent by colour"})
    {
        auto const answer = ask(clauses);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == errc::bad_request);
        CHECK(answer.error().field == "colour");
    }
    CHECK(ask("where spent > 3s").error().field == "spent");
    CHECK(ask("sum state by workspace").error().field == "state");
}

TEST_CASE_METHOD(
    program_table, "rows of other workspaces, when filtered, are gone",
    "[query]")
{
    CHECK(visible_to(workspace_name("basel"), table).rows.size() == 1);
    result_table const zones{{"name"}, {{"bern-hall"}}};
    CHECK(visible_to(workspace_name("basel"), zones).rows.size() == 1);
}

TEST_CASE_METHOD(
    program_table, "answer, as text and JSON, tells age and silent nodes",
    "[query]")
{
    query_answer const answer{
        table,
        {{node_name("n1"), true, duration(40'000)},
         {node_name("n2"), false, duration(0)}},
        7};
    auto const text = to_text(answer);
    CHECK(
        text.find("p1       bern       waiting  30     2.5s") !=
        std::string::npos);
    CHECK(
        text.find("3 rows, up to 40ms old, configuration version 7") !=
        std::string::npos);
    CHECK(text.find("no answer from node n2") != std::string::npos);
    auto const json = to_json_text(answer);
    CHECK(json.find("\"waited_us\":2500000") != std::string::npos);
    CHECK(json.find("\"no_answer\":[\"n2\"]") != std::string::npos);
}

TEST_CASE_METHOD(
    program_table, "table, encoded and decoded, is the same", "[query]")
{
    auto const read = decode_table(encode_table(table));
    REQUIRE(read);
    CHECK(read.value().columns == table.columns);
    CHECK(read.value().rows == table.rows);
    CHECK_FALSE(decode_table("rubbish"));
    auto short_row = table;
    short_row.rows[0].pop_back();
    CHECK_FALSE(decode_table(encode_table(short_row)));
}
