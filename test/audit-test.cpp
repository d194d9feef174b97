#include <walnutmill/audit.hpp>

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

audit_entry sample_entry()
{
    audit_entry entry;
    entry.id = "c-7";
    entry.at = wall_time(std::chrono::milliseconds(1'764'707'465'120));
    entry.subject = audit_subject::order;
    entry.who = "desk";
    entry.workspace = workspace_name("bern");
    entry.what = "drain engine-3";
    entry.reason = "fan \"2\"\nreplaced";
    entry.version_before = 9;
    entry.version_after = 10;
    entry.result = audit_result::refused;
    entry.detail = "version is 12";
    return entry;
}

} // namespace

TEST_CASE("audit entry, written and read, is the same single line", "[audit]")
{
    auto const line = to_json_line(sample_entry());
    CHECK(line.find('\n') == std::string::npos);
    auto const read = audit_entry_from(line);
    REQUIRE(read);
    CHECK(to_json_line(read.value()) == line);
    CHECK(line.find("2025-12-02T20:31:05.120Z") != std::string::npos);
    CHECK_FALSE(audit_entry_from("{\"id\":3}"));
    CHECK_FALSE(audit_entry_from("{"));
}

TEST_CASE("audit keys, of rising versions, sort as numbers do", "[audit]")
{
    auto nine = sample_entry();
    nine.version_after = 9;
    auto const ten = sample_entry();
    CHECK(audit_key(nine) < audit_key(ten));
    CHECK(audit_key(nine) < audit_scan_start(9));
    CHECK(audit_scan_start(9) < audit_key(ten));
}

TEST_CASE("decision log, when full, drops the oldest and says so", "[audit]")
{
    decision_log log(2);
    for (std::uint32_t call = 1; call <= 3; ++call)
    {
        decision_entry entry;
        entry.program = program_id("p");
        entry.call = call;
        entry.reason = "no slot";
        log.add(entry);
    }
    auto const kept = log.of(program_id("p"));
    REQUIRE(kept.size() == 2);
    CHECK(kept.front().call == 2);
    CHECK(log.of(program_id("other")).empty());
    CHECK(log.dropped() == 1);
    auto const read = decision_entry_from(to_json_line(kept.front()));
    REQUIRE(read);
    CHECK(to_json_line(read.value()) == to_json_line(kept.front()));
}
