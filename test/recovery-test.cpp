#include "recovery.hpp"

#include "fake_table.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace walnutmill::testing;

namespace
{

journal_record ended(shard_number shard, epoch_number epoch, char const* id)
{
    return {shard, epoch, program_ended{program_id(id), end_reason::finished}};
}

/// Two sessions that owned the shard one after the other.
struct two_owners
{
    two_owners()
    {
        row.number = 1;
        row.epoch = 6;
        row.segments = {{session_id("a.1"), 5}, {session_id("b.1"), 6}};
        fake.set_row(
            journal_key(session_id("a.1"), 9),
            encode_records({ended(1, 5, "p1"), ended(2, 5, "other")}));
        fake.set_row(
            journal_key(session_id("a.1"), 10),
            encode_records({ended(1, 5, "p2"), ended(1, 4, "older")}));
        fake.set_row(
            journal_key(session_id("b.1"), 2),
            encode_records({ended(1, 6, "p3")}));
    }

    std::vector<std::string> recovered()
    {
        std::vector<std::string> ids;
        auto const done = recover_shards(fake.table(), fake.store(), {row});
        REQUIRE(done);
        for (auto const& record : done.value().shards.front().records)
            ids.push_back(std::get<program_ended>(record.body).program.str());
        return ids;
    }

    fake_table fake;
    shard_state row;
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(
    two_owners,
    "recovery, several segments, reads each owner's own records in order",
    "[recovery]")
{
    CHECK(recovered() == names{"p1", "p2", "p3"});
}

TEST_CASE_METHOD(
    two_owners,
    "recovery, checkpoint in a segment, replays only what came later",
    "[recovery]")
{
    row.checkpoint = checkpoint_key(1, 5, 9);
    row.checkpoint_epoch = 5;
    row.checkpoint_counter = 9;
    REQUIRE(fake.store().put(
        row.checkpoint, encode_records({ended(1, 5, "saved")})));
    CHECK(recovered() == names{"saved", "p2", "p3"});
}

TEST_CASE_METHOD(
    two_owners, "recovery, object store away, fails rather than forgets",
    "[recovery]")
{
    row.checkpoint = checkpoint_key(1, 5, 9);
    fake.set_objects_down(true);
    CHECK_FALSE(recover_shards(fake.table(), fake.store(), {row}));
}

TEST_CASE_METHOD(
    two_owners, "recovery, unreadable journal row, fails rather than forgets",
    "[recovery]")
{
    fake.set_row(journal_key(session_id("b.1"), 3), "no batch");
    CHECK_FALSE(recover_shards(fake.table(), fake.store(), {row}));
}
