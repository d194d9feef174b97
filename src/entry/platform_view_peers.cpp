/// \file
/// Queries of a view to the reader of its failure domain, and answers to those
/// of other nodes.

#include "entry/platform_view.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

/// Key by which the reader of a failure domain is selected.
constexpr char const* reader_key = "cluster-reader";
/// Larger tables of another node are rejected: a node has as little as 88 MB.
constexpr std::size_t max_table_bytes = 32'000'000;

} // namespace

/// Queries the reader of this failure domain unless it is this node.
void platform_view::ask_peer()
{
    schedule(query_interval(), ask_timer_, &platform_view::ask_peer);
    auto const* reader = reader_.coordinator_of(reader_key, clock_());
    if (reader == nullptr)
        stop_following("this node is the reader");
    // A large table takes its time on a slow link.
    if (reader == nullptr || !hooks_.ask || query_in_progress_)
        return;
    query_in_progress_ = true;
    section_query query;
    query.accepts_compressed = true;
    for (std::size_t i = 0; i < cluster_table_count; ++i)
        query.digests[i] = sections_[i].digest;
    hooks_.ask(
        reader->address, encode(query),
        [this, peer = *reader, asked_at = hooks_.boot_clock()](
            std::optional<std::string> const& answer)
        {
            query_in_progress_ = false;
            on_peer_answer(peer, answer, asked_at);
        });
}

void platform_view::on_peer_answer(
    coordinator_candidate const& peer, std::optional<std::string> const& answer,
    time_point asked_at)
{
    auto const now = clock_();
    auto const outcome = answer
                             ? apply_peer_answer(peer.node, *answer, asked_at)
                             : peer_answer_outcome::unusable;
    if (outcome == peer_answer_outcome::behind)
        return;
    if (outcome == peer_answer_outcome::applied)
    {
        reader_.answered(peer.node);
        follow(peer.node);
        return;
    }
    reader_.mark_unresponsive(peer.node, now);
    stop_following(answer ? "old or unreadable" : "no answer");
}

/// Uses the reader's answers instead of own reads for an interval.
void platform_view::follow(std::string const& reader)
{
    auto const now = clock_();
    if (!is_following())
        log_.write(log_priority::routine, "view.follows", {{"reader", reader}});
    followed_reader_ = reader;
    reader_answered_at_ = now;
    following_until_ = now + interval_;
    schedule_read_when_due(cluster_table::configuration);
    schedule_read_when_due(cluster_table::engines);
}

void platform_view::stop_following(std::string_view why)
{
    // Otherwise own reads are already scheduled.
    if (!is_following())
        return;
    following_until_ = {};
    log_.write(
        log_priority::routine, "view.reads_itself",
        {{"reader", followed_reader_}, {"why", why}});
    read_all();
}

platform_view::peer_answer_outcome platform_view::apply_peer_answer(
    std::string const& reader, std::string_view bytes, time_point asked_at)
{
    auto const reported = decode_peer_sections(bytes);
    if (!reported)
        return peer_answer_outcome::unusable;
    auto const now = clock_();
    // Engines renew their rows continuously, so a later read has a higher
    // version.
    auto const& engines =
        (*reported)[static_cast<std::size_t>(cluster_table::engines)];
    if (engines.as_of > section(cluster_table::engines).as_of)
        engines_confirmed_at_ =
            std::max(engines_confirmed_at_, now - engines.age);
    if (now - engines_confirmed_at_ > max_followed_age())
        return peer_answer_outcome::unusable;
    auto outcome = peer_answer_outcome::applied;
    for (std::size_t i = 0; i < cluster_table_count; ++i)
    {
        auto const& one = (*reported)[i];
        auto const which = static_cast<cluster_table>(i);
        // Counted from when the query was sent, as the answer may have been
        // delayed in transit.
        auto const read_started_at =
            asked_at - one.read_start_age.value_or(one.age);
        if (which != cluster_table::members &&
            hooks_.boot_clock() - read_started_at > max_followed_age())
            return peer_answer_outcome::unusable;
        if (one.as_of < sections_[i].as_of)
        {
            // Members are read less often than the other tables.
            if (which != cluster_table::members)
                outcome = peer_answer_outcome::behind;
            continue;
        }
        auto fresh = sections_[i];
        if (one.compressed)
        {
            auto bytes = decompress(*one.compressed, max_table_bytes);
            if (!bytes)
                return peer_answer_outcome::unusable;
            fresh = make_section(one.as_of, {}, std::move(*bytes));
        }
        else if (one.bytes)
            fresh = make_section(one.as_of, {}, *one.bytes);
        if (fresh.digest != one.digest)
            return peer_answer_outcome::unusable;
        fresh.as_of = one.as_of;
        fresh.read_at = now - one.age;
        if (!apply_section(which, std::move(fresh)))
            return peer_answer_outcome::unusable;
        // A node of an earlier version does not say when its read began. Then
        // this node's own reads confirm the table.
        if (one.read_start_age)
            confirm_section(which, reader, read_started_at);
    }
    return outcome;
}

std::optional<std::string> platform_view::serve(std::string_view query)
{
    last_query_at_ = clock_();
    auto const asked = decode_section_query(query);
    if (!asked)
        return std::nullopt;
    auto const answer = answer_query(
        *asked, sections_, clock_(), hooks_.boot_clock(),
        [this](cluster_table which) -> compressed_bytes const&
        { return compressed_table(which); });
    if (!answer)
        return std::nullopt;
    return encode(*answer);
}

/// All followers ask for a changed table, so that it is compressed once.
compressed_bytes const& platform_view::compressed_table(cluster_table which)
{
    auto& kept = compressed_[static_cast<std::size_t>(which)];
    auto const& known = section(which);
    if (!kept || kept->digest != known.digest)
        kept = compressed_table_of{known.digest, compress(known.bytes)};
    return kept->table;
}

} // namespace walnutmill
