#include "journal.hpp"

#include "fake_table.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace walnutmill::testing;

namespace
{

std::vector<journal_record> one_record(char const* program)
{
    return {{0, 1, program_ended{program_id(program), end_reason::finished}}};
}

/// A journal with its row in a table.
struct open_journal
{
    open_journal() : log(session())
    {
        fake.set_row(session_key(session().id), encode_session(session()));
    }

    static session_state session()
    {
        session_state opened;
        opened.id = session_id("n.1");
        opened.node = node_name("n");
        return opened;
    }

    std::vector<ticket_result> exchange(bool beat = false)
    {
        if (log.in_doubt())
        {
            auto const rows = fake.table().read({key()});
            return log.on_row(rows.value().front().value);
        }
        auto const txn = log.next(beat);
        if (!txn)
            return {};
        return log.on_result(fake.table().commit(*txn));
    }

    void fence()
    {
        auto row = decode_session(fake.rows().at(key())).value();
        row.fenced = true;
        fake.set_row(key(), encode_session(row));
    }

    std::size_t journal_rows() const
    {
        std::size_t count = 0;
        for (auto const& row : fake.rows())
            count += row.first.rfind("journal/", 0) == 0 ? 1 : 0;
        return count;
    }

    static std::string key() { return session_key(session().id); }

    fake_table fake;
    journal log;
};

} // namespace

TEST_CASE_METHOD(
    open_journal, "journal, several appends, go out in one commit", "[journal]")
{
    log.append(one_record("a"));
    log.append(one_record("b"));
    CHECK(exchange().size() == 2);
    CHECK(fake.commits() == 1);
    CHECK(journal_rows() == 1);
}

TEST_CASE_METHOD(
    open_journal, "journal, answer lost after the effect, is committed once",
    "[journal]")
{
    log.append(one_record("a"));
    fake.fail_next(table_fault::drop_answer);
    CHECK(exchange().empty());
    REQUIRE(log.in_doubt());
    CHECK_FALSE(log.next(true));
    CHECK(exchange().size() == 1);
    CHECK(fake.commits() == 1);
}

TEST_CASE_METHOD(
    open_journal, "journal, request lost before the effect, is sent again",
    "[journal]")
{
    log.append(one_record("a"));
    fake.fail_next(table_fault::lose_request);
    CHECK(exchange().empty());
    CHECK(exchange().empty());
    CHECK(exchange().size() == 1);
    CHECK(fake.commits() == 1);
}

TEST_CASE_METHOD(
    open_journal, "journal, fenced before its commit, commits nothing more",
    "[journal]")
{
    log.append(one_record("a"));
    fence();
    CHECK(exchange().empty());
    CHECK(exchange().empty());
    CHECK(log.fenced());
    CHECK(journal_rows() == 0);
    log.append(one_record("b"));
    CHECK_FALSE(log.next(true));
}

TEST_CASE_METHOD(
    open_journal, "journal, fenced after a commit in doubt, knows of it",
    "[journal]")
{
    log.append(one_record("a"));
    fake.fail_next(table_fault::drop_answer);
    exchange();
    fence();
    CHECK(exchange().size() == 1);
    CHECK(log.fenced());
}

TEST_CASE_METHOD(
    open_journal, "exclusive commit, condition false, fails alone", "[journal]")
{
    exclusive_commit work;
    work.conditions.push_back({"shard/1", std::string("mine")});
    work.writes.push_back({"shard/1", std::string("theirs")});
    auto const refused = log.append_exclusive(work);
    auto const later = log.append(one_record("a"));
    auto const first = exchange();
    REQUIRE(first.size() == 1);
    CHECK(first[0].id == refused);
    CHECK(first[0].status == ticket_status::refused);
    auto const second = exchange();
    REQUIRE(second.size() == 1);
    CHECK(second[0].id == later);
    CHECK(second[0].status == ticket_status::committed);
}

TEST_CASE_METHOD(
    open_journal, "exclusive commit, answer lost, is told as it was",
    "[journal]")
{
    exclusive_commit work;
    work.conditions.push_back({"shard/1", std::nullopt});
    work.writes.push_back({"shard/1", std::string("mine")});
    log.append_exclusive(work);
    fake.fail_next(table_fault::drop_answer);
    exchange();
    auto const done = exchange();
    REQUIRE(done.size() == 1);
    CHECK(done[0].status == ticket_status::committed);
}

TEST_CASE_METHOD(
    open_journal, "journal, idle, advances its counter with each beat",
    "[journal]")
{
    exchange(true);
    exchange(true);
    CHECK(log.session().counter == 2);
    CHECK(journal_rows() == 0);
}

TEST_CASE_METHOD(
    open_journal, "journal, large records, split into bounded commits",
    "[journal]")
{
    call_outcome outcome;
    outcome.output.assign(journal::max_batch_bytes * 2 / 3, 'x');
    log.append({{0, 1, outcome}});
    log.append({{0, 1, outcome}});
    CHECK(exchange().size() == 1);
    CHECK(exchange().size() == 1);
    CHECK(fake.commits() == 2);
}
