#include "recovery.hpp"

#include <map>

namespace walnutmill
{
namespace
{

/// One row of a journal, decoded.
struct journal_row
{
    std::uint64_t counter = 0;
    std::vector<journal_record> records;
};

/// Journals by session, each scanned at first need.
class journal_reader
{
public:
    journal_reader(table_service const& table, recovery& totals)
        : table_(table), totals_(totals)
    {
    }

    result<std::vector<journal_row> const*> rows(session_id const& session)
    {
        auto const found = journals_.find(session);
        if (found != journals_.end())
            return &found->second;
        auto const read = scan_all(table_, journal_prefix(session));
        if (!read)
            return read.error();
        ++totals_.reads;
        std::vector<journal_row> decoded;
        for (auto const& row : read.value())
        {
            totals_.bytes_read += row.value.size();
            auto records = decode_records(row.value);
            if (!records)
                return records.error();
            decoded.push_back(
                {journal_counter(row.key), std::move(records.value())});
        }
        auto& kept = journals_[session];
        kept = std::move(decoded);
        return &kept;
    }

private:
    table_service const& table_;
    recovery& totals_;
    std::map<session_id, std::vector<journal_row>> journals_;
};

result<void> add_checkpoint(
    object_store const& objects, recovery& totals, recovered_shard& shard)
{
    if (shard.row.checkpoint.empty())
        return boost::outcome_v2::success();
    auto const bytes = objects.get(shard.row.checkpoint);
    if (!bytes)
        return bytes.error();
    ++totals.reads;
    totals.bytes_read += bytes.value().size();
    auto records = decode_records(bytes.value());
    if (!records)
        return records.error();
    shard.records = std::move(records.value());
    return boost::outcome_v2::success();
}

result<void> add_segment(
    journal_reader& reader, shard_segment const& segment,
    recovered_shard& shard)
{
    auto const& row = shard.row;
    if (segment.epoch < row.checkpoint_epoch)
        return boost::outcome_v2::success();
    auto const journal = reader.rows(segment.session);
    if (!journal)
        return journal.error();
    for (auto const& one : *journal.value())
    {
        bool const in_checkpoint = segment.epoch == row.checkpoint_epoch &&
                                   one.counter <= row.checkpoint_counter;
        if (in_checkpoint)
            continue;
        for (auto const& record : one.records)
        {
            if (record.shard == row.number && record.epoch == segment.epoch)
                shard.records.push_back(record);
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string
checkpoint_key(shard_number shard, epoch_number epoch, std::uint64_t counter)
{
    return "checkpoint/" + std::to_string(shard) + "/" + std::to_string(epoch) +
           "." + std::to_string(counter);
}

result<recovery> recover_shards(
    table_service const& table, object_store const& objects,
    std::vector<shard_state> const& rows)
{
    recovery done;
    journal_reader reader(table, done);
    for (auto const& row : rows)
    {
        recovered_shard shard{row, {}};
        auto added = add_checkpoint(objects, done, shard);
        if (!added)
            return added.error();
        for (auto const& segment : row.segments)
        {
            added = add_segment(reader, segment, shard);
            if (!added)
                return added.error();
        }
        done.shards.push_back(std::move(shard));
    }
    return done;
}

} // namespace walnutmill
