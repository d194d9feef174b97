#include <walnutmill/turn_history.hpp>

#include "entry/partitions.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace walnutmill
{
namespace
{

constexpr char const* table_name = "walnutmill-turns";
/// Bytes of values in one transaction; the platform takes 1 MB with base64
/// and names, which a value of half of that stays below.
constexpr std::size_t transaction_bytes = 500'000;
row_address
piece_address(request_id const& id, std::size_t way, std::size_t piece)
{
    return {
        table_name, turn_history::partition(id, way),
        turn_history::piece_key(id, piece)};
}

/// The first row says how many pieces follow it.
std::vector<row_value> rows_of(
    kept_turn const& turn, std::size_t way, std::size_t row_bytes,
    std::int64_t written_at)
{
    auto const bytes = encode(turn);
    auto const pieces =
        std::max<std::size_t>(1, (bytes.size() + row_bytes - 1) / row_bytes);
    std::vector<row_value> rows;
    for (std::size_t i = pieces; i-- > 0;)
    {
        auto value = bytes.substr(i * row_bytes, row_bytes);
        if (i == 0)
        {
            value.insert(0, encode_turn_head(pieces, written_at));
        }
        rows.push_back({piece_address(turn.id, way, i), std::move(value)});
    }
    return rows;
}

} // namespace

char const* turn_history::table()
{
    return table_name;
}

std::string turn_history::piece_key(request_id const& id, std::size_t piece)
{
    // Slashes don't occur in ids that callers send in hexadecimal; a caller
    // that uses one only collides with itself.
    return piece == 0 ? id.str() : id.str() + "/" + std::to_string(piece);
}

std::string turn_history::partition(request_id const& id, std::size_t way)
{
    return partition_of(
        way == 0 ? id.str() : id.str() + "/" + std::to_string(way));
}

/// A chain that is being put together.
struct turn_history::loading
{
    turn_ptr last;
    std::vector<turn_ptr> turns;
    std::size_t missing = 0;
    bool failed = false;
    chain_fn done;
};

/// One turn that is looked for in the store.
struct turn_history::search
{
    request_id id;
    turn_fn done;
    /// Ways that have not answered.
    std::size_t open = 0;
    std::size_t asked = 0;
    /// A way could not tell, so the turn can't be said to be unknown.
    bool unsure = false;
    bool ended = false;
};

/// One turn that is being made durable.
struct turn_history::keeping
{
    turn_ptr turn;
    std::string group;
    kept_fn done;
    std::chrono::milliseconds patience{0};
    std::chrono::milliseconds waited{0};
    /// The ways in the order in which they are tried.
    std::array<std::size_t, ways> order{};
    std::size_t started = 0;
    std::size_t open = 0;
    bool ended = false;
};

turn_history::turn_history(versioned_store store, history_options options)
    : store_(std::move(store)), options_(std::move(options)),
      alive_(std::make_shared<bool>(true))
{
}

turn_history::~turn_history()
{
    // Answers of the store that still come find nobody.
    *alive_ = false;
}

turn_history::turn_ptr turn_history::find(request_id const& id)
{
    auto const found = cache_.find(id);
    if (found == cache_.end())
        return nullptr;
    uses_.splice(uses_.end(), uses_, found->second.use);
    return found->second.turn;
}

void turn_history::remember(turn_ptr turn)
{
    if (cache_.count(turn->id) > 0)
        return;
    cached_bytes_ += turn->bytes();
    auto const use = uses_.insert(uses_.end(), turn->id);
    auto const id = turn->id;
    cache_.emplace(id, cached_turn{std::move(turn), use});
    while (cached_bytes_ > options_.cache_bytes && uses_.size() > 1)
    {
        auto const oldest = cache_.find(uses_.front());
        cached_bytes_ -= oldest->second.turn->bytes();
        cache_.erase(oldest);
        uses_.pop_front();
    }
}

bool turn_history::has_chain(request_id const& last)
{
    auto const turn = find(last);
    return turn &&
           std::all_of(
               turn->chain.begin(), turn->chain.end(),
               [this](request_id const& one) { return cache_.count(one) > 0; });
}

std::vector<turn_history::turn_ptr> turn_history::cached(request_id const& last)
{
    std::vector<turn_ptr> turns;
    auto const turn = find(last);
    if (!turn)
        return turns;
    for (auto const& id : turn->chain)
    {
        if (auto one = find(id))
            turns.push_back(std::move(one));
    }
    turns.push_back(turn);
    return turns;
}

void turn_history::load(
    request_id const& last, chain_fn done, std::string const& group)
{
    if (!peers_.ask || group.empty() || has_chain(last))
    {
        load_from_store(last, std::move(done));
        return;
    }
    peers_.ask(
        group, last,
        [this, alive = alive_, last, done = std::move(done)]
        {
            if (*alive)
                load_from_store(last, done);
        });
}

void turn_history::load_from_store(request_id const& last, chain_fn done)
{
    auto const one = std::make_shared<loading>();
    one->done = std::move(done);
    one->last = find(last);
    if (one->last)
    {
        load_chain(one);
        return;
    }
    fetch(
        last,
        [this, one](history_answer answer, turn_ptr const& turn)
        {
            if (answer != history_answer::found)
            {
                one->done(answer, {});
                return;
            }
            one->last = turn;
            load_chain(one);
        });
}

void turn_history::load_chain(loading_ptr const& one)
{
    auto const& ids = one->last->chain;
    one->turns.resize(ids.size());
    one->missing = 1;
    for (std::size_t i = 0; i < ids.size(); ++i)
    {
        one->turns[i] = find(ids[i]);
        if (one->turns[i])
            continue;
        ++one->missing;
        fetch(
            ids[i],
            [this, one, i](history_answer answer, turn_ptr const& turn)
            {
                one->turns[i] = turn;
                // A turn that lost one before it can't go on, whatever the
                // reason: only the last one's absence is certain.
                one->failed = one->failed || answer != history_answer::found;
                one_loaded(one);
            });
    }
    one_loaded(one);
}

void turn_history::one_loaded(loading_ptr const& one)
{
    if (--one->missing > 0)
        return;
    if (one->failed)
    {
        one->done(history_answer::store_unavailable, {});
        return;
    }
    turn_chain chain;
    chain.ids = one->last->chain;
    chain.ids.push_back(one->last->id);
    for (auto const& turn : one->turns)
        chain.text.append(turn->input).append(turn->output);
    chain.text.append(one->last->input).append(one->last->output);
    one->done(history_answer::found, std::move(chain));
}

void turn_history::fetch(request_id const& id, turn_fn done)
{
    auto const one = std::make_shared<search>();
    one->id = id;
    one->done = std::move(done);
    search_way(one, 0);
}

void turn_history::search_way(search_ptr const& one, std::size_t way)
{
    ++one->asked;
    ++one->open;
    auto const at = piece_address(one->id, way, 0);
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.patience,
        [this, alive = alive_, one, way](range_result const& result)
        {
            if (*alive && !one->ended)
                way_searched(one, way, result);
        });
}

void turn_history::way_searched(
    search_ptr const& one, std::size_t way, range_result const& result)
{
    --one->open;
    if (result.outcome == store_outcome::done && !result.rows.empty())
    {
        one->ended = true;
        auto const& value = result.rows.front().value;
        auto const head = decode_turn_head(value);
        if (head)
        {
            fetch_pieces(
                one->id, way, value.substr(head->size), head->pieces,
                one->done);
        }
        else
        {
            // A turn that can't be read is not said to be unknown.
            one->done(history_answer::store_unavailable, nullptr);
        }
        return;
    }
    one->unsure = one->unsure || result.outcome != store_outcome::done;
    if (one->asked < ways)
    {
        for (auto other = one->asked; other < ways; ++other)
            search_way(one, other);
        return;
    }
    if (one->open > 0)
        return;
    one->ended = true;
    one->done(
        one->unsure ? history_answer::store_unavailable
                    : history_answer::unknown_turn,
        nullptr);
}

void turn_history::fetch_pieces(
    request_id const& id, std::size_t way, std::string first,
    std::size_t pieces, turn_fn const& done)
{
    struct gathered
    {
        std::vector<std::string> parts;
        std::size_t missing = 1;
        bool failed = false;
    };
    auto const all = std::make_shared<gathered>();
    all->parts.resize(std::max<std::size_t>(pieces, 1));
    all->parts[0] = std::move(first);
    auto const one_done = [this, all, id, done]
    {
        if (--all->missing > 0)
            return;
        std::string bytes;
        for (auto const& part : all->parts)
            bytes += part;
        auto const turn = all->failed ? nullptr : decode_turn(id, bytes);
        if (turn)
            remember(turn);
        done(
            turn ? history_answer::found : history_answer::store_unavailable,
            turn);
    };
    for (std::size_t i = 1; i < pieces; ++i)
    {
        ++all->missing;
        auto const at = piece_address(id, way, i);
        store_.read(
            {at.table, at.partition, at.key, at.key + '\0'}, options_.patience,
            [all, i, one_done](range_result const& result)
            {
                if (result.rows.empty())
                    all->failed = true;
                else
                    all->parts[i] = result.rows.front().value;
                one_done();
            });
    }
    one_done();
}

bool turn_history::answers(request_id const& id, std::size_t way) const
{
    return !store_.answers || store_.answers(partition(id, way));
}

void turn_history::keep(
    kept_turn turn, std::chrono::milliseconds patience, kept_fn done,
    std::string const& group)
{
    auto const one = std::make_shared<keeping>();
    one->turn = std::make_shared<kept_turn const>(std::move(turn));
    one->group = group;
    one->done = std::move(done);
    one->patience = patience;
    std::iota(one->order.begin(), one->order.end(), std::size_t{0});
    std::stable_partition(
        one->order.begin(), one->order.end(),
        [this, &one](std::size_t way) { return answers(one->turn->id, way); });
    keep_way(one);
    watch(one);
}

void turn_history::keep_way(keeping_ptr const& one)
{
    auto const way = one->order[one->started];
    ++one->started;
    ++one->open;
    auto const rows = std::make_shared<std::vector<row_value>>(
        rows_of(*one->turn, way, options_.row_bytes, options_.utc()));
    write_pieces(
        rows, 0, one->patience - one->waited,
        [this, one](bool durable) { way_kept(one, durable); });
}

/// Tries another way once the one tried last is known to be silent.
void turn_history::watch(keeping_ptr const& one)
{
    if (!options_.later || one->started >= ways)
        return;
    options_.later(
        options_.look_after,
        [this, alive = alive_, one]
        {
            if (!*alive || one->ended)
                return;
            one->waited += options_.look_after;
            if (one->waited >= one->patience)
                return;
            auto const& id = one->turn->id;
            if (!answers(id, one->order[one->started - 1]) &&
                answers(id, one->order[one->started]))
                keep_way(one);
            watch(one);
        });
}

void turn_history::way_kept(keeping_ptr const& one, bool durable)
{
    --one->open;
    if (one->ended || (!durable && one->open > 0))
        return;
    one->ended = true;
    if (durable)
    {
        remember(one->turn);
        if (peers_.offer && !one->group.empty())
            peers_.offer(one->group, one->turn);
    }
    one->done(durable);
}

/// The first piece is written last: once it stands, all do.
void turn_history::write_pieces(
    std::shared_ptr<std::vector<row_value>> const& rows, std::size_t from,
    std::chrono::milliseconds patience, kept_fn done)
{
    row_transaction one;
    std::size_t bytes = 0;
    auto next = from;
    while (next < rows->size() && bytes < transaction_bytes)
    {
        bytes += (*rows)[next].value.size();
        one.writes.push_back((*rows)[next]);
        ++next;
    }
    store_.commit(
        std::move(one), patience,
        [this, alive = alive_, rows, next, patience,
         done = std::move(done)](transaction_result const& result)
        {
            if (!*alive)
                return;
            if (result.outcome != store_outcome::done)
                done(false);
            else if (next < rows->size())
                write_pieces(rows, next, patience, done);
            else
                done(true);
        });
}

} // namespace walnutmill
