#include "steward_commit.hpp"

#include <walnutmill/hash.hpp>

#include "session.hpp"

namespace walnutmill
{
namespace
{

// A checkpoint may change the row between read and commit; rarely twice.
constexpr int most_tries = 3;
// The journal itself waits out an outage; a steward decides anew instead.
constexpr std::chrono::seconds longest_wait{5};

enum class ownership_read
{
    own,
    lost,
    unknown
};

struct shard_reading
{
    ownership_read state = ownership_read::unknown;
    row shard;
};

shard_reading read_shard(
    table_service const& table, std::string const& key, session_id const& self,
    epoch_number epoch)
{
    auto const rows = table.read({key});
    if (!rows)
        return {};
    if (rows.value().empty())
        return {ownership_read::lost, {}};
    auto const& found = rows.value().front();
    auto const shard = decode_shard(found.value);
    if (!shard)
        return {};
    bool const own =
        shard.value().owner == self && shard.value().epoch == epoch;
    return {own ? ownership_read::own : ownership_read::lost, found};
}

} // namespace

shard_number steward_shard(target_name const& target, std::uint32_t shards)
{
    return shard_of(program_id(target.str()), shards);
}

std::function<commit_status(steward_commit const&)> make_steward_commit(
    table_service table, exclusive_fn exclusive, session_id self,
    std::uint32_t shards)
{
    return [table = std::move(table), exclusive = std::move(exclusive),
            self = std::move(self), shards](steward_commit const& wanted)
    {
        auto const key = shard_key(steward_shard(wanted.target, shards));
        for (int i = 0; i < most_tries; ++i)
        {
            auto const before = read_shard(table, key, self, wanted.epoch);
            if (before.state == ownership_read::lost)
                return commit_status::refused;
            if (before.state == ownership_read::unknown)
                return commit_status::not_sent;
            exclusive_commit work{wanted.conditions, wanted.writes};
            work.conditions.push_back({key, before.shard.value});
            auto done = exclusive(std::move(work));
            if (done.wait_for(longest_wait) != std::future_status::ready)
                return commit_status::in_doubt;
            auto const status = done.get();
            if (status == exclusive_status::committed)
                return commit_status::committed;
            if (status == exclusive_status::lost)
                return commit_status::in_doubt;
        }
        return commit_status::not_sent;
    };
}

} // namespace walnutmill
