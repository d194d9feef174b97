#include <walnutmill/turn_history.hpp>

#include "entry/partitions.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <utility>

namespace walnutmill
{
namespace
{

constexpr char const* table_name = "walnutmill-turns";
/// Size of the values at which a transaction is closed. The platform accepts
/// 1 MB including base64 encoding and names; values of half that size fit.
constexpr std::size_t transaction_bytes = 500'000;
/// Part of the removal margin that is left for clocks that differ and for a
/// turn that is written late.
constexpr auto clock_allowance = turn_history::removal_margin / 2;
/// A row dated further in the future shows that clocks differ by more than is
/// usual, so the age of the row is unknown.
constexpr std::chrono::seconds max_clock_lead{60};

row_address
chunk_address(request_id const& id, std::size_t candidate, std::size_t chunk)
{
    return {
        table_name, turn_history::partition(id, candidate),
        turn_history::chunk_key(id, chunk)};
}

turn_failure failure_of(range_result const& result)
{
    switch (result.failure)
    {
    case call_failure::refused:
        return turn_failure::refused;
    case call_failure::not_sent:
        return turn_failure::not_sent;
    case call_failure::malformed:
        return turn_failure::malformed;
    case call_failure::none:
    case call_failure::unanswered:
        break;
    }
    return turn_failure::unanswered;
}

/// \return true if another attempt may find the turn.
bool is_transient(turn_failure failure)
{
    return failure == turn_failure::unanswered ||
           failure == turn_failure::refused ||
           failure == turn_failure::not_sent;
}

turn_chain failed_chain(history_failure failure)
{
    turn_chain result;
    result.failure = std::move(failure);
    return result;
}

/// \return the earliest time at which the rows of a turn may be removed.
time_point removable_at(stored_turn const& turn)
{
    return turn.written_at == time_point::min()
               ? time_point::min()
               : turn.written_at + turn.kept_for + turn_history::removal_margin;
}

/// Splits a turn into rows, last chunk first. The row of the first chunk begins
/// with the header, which contains the number of rows.
std::vector<row_value> make_rows(
    stored_turn const& turn, std::size_t candidate, std::size_t row_bytes,
    std::int64_t written_at)
{
    auto const bytes = encode(turn);
    auto const chunk_count =
        std::max<std::size_t>(1, (bytes.size() + row_bytes - 1) / row_bytes);
    std::vector<row_value> rows;
    for (std::size_t i = chunk_count; i-- > 0;)
    {
        auto value = bytes.substr(i * row_bytes, row_bytes);
        if (i == 0)
        {
            value.insert(
                0, encode_turn_header(chunk_count, written_at, turn.kept_for));
        }
        rows.push_back(
            {chunk_address(turn.id, candidate, i), std::move(value)});
    }
    return rows;
}

} // namespace

std::string_view to_string(turn_failure failure)
{
    switch (failure)
    {
    case turn_failure::none:
        break;
    case turn_failure::unanswered:
        return "timeout";
    case turn_failure::refused:
        return "refused";
    case turn_failure::not_sent:
        return "not sent";
    case turn_failure::missing:
        return "missing";
    case turn_failure::malformed:
        return "malformed";
    }
    return "none";
}

char const* turn_history::table()
{
    return table_name;
}

std::string turn_history::chunk_key(request_id const& id, std::size_t chunk)
{
    // Hexadecimal ids contain no slash. A caller whose ids contain one can only
    // cause collisions among its own turns.
    return chunk == 0 ? id.str() : id.str() + "/" + std::to_string(chunk);
}

std::string turn_history::partition(request_id const& id, std::size_t candidate)
{
    return partition_of(
        candidate == 0 ? id.str() : id.str() + "/" + std::to_string(candidate));
}

/// State of loading a chain.
struct turn_history::chain_load
{
    struct failed_read
    {
        std::size_t index;
        turn_failure cause;
    };

    turn_lookup_ptr last_lookup;
    turn_ptr last;
    std::vector<turn_ptr> turns;
    /// Lookups of the predecessors that are not cached, by their index.
    std::map<std::size_t, turn_lookup_ptr> lookups;
    /// Predecessors that are to be read.
    std::deque<std::size_t> waiting;
    std::vector<failed_read> failed;
    std::size_t in_flight = 0;
    bool starting_reads = false;
    /// Failed reads are repeated until then.
    time_point retry_until;
    int retries = 0;
    chain_fn done;
};

/// State of looking up one turn in the store. A lookup that has failed may be
/// repeated.
struct turn_history::turn_lookup
{
    request_id id;
    /// Candidates that do not hold the turn. It was stored before it was looked
    /// up, so they are not read again.
    std::array<bool, partition_candidates> empty{};
    /// Number of the current run; replies to earlier ones are ignored.
    std::size_t run = 0;
    /// Candidates that have not answered.
    std::size_t pending = 0;
    /// Candidates after the first one are read as well.
    bool reads_others = false;
    /// The read of a candidate failed, so the turn may exist.
    bool inconclusive = false;
    /// Of the first candidate that failed.
    turn_failure failure = turn_failure::none;
};

/// State of writing one turn.
struct turn_history::turn_write
{
    turn_ptr turn;
    std::string group;
    stored_fn done;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds elapsed{0};
    /// Candidates in the order in which they are tried.
    std::array<std::size_t, partition_candidates> candidate_order{};
    std::size_t candidates_tried = 0;
    std::size_t pending = 0;
    bool finished = false;
};

turn_history::turn_history(versioned_store store, history_options options)
    : store_(std::move(store)), options_(std::move(options)),
      alive_(std::make_shared<bool>(true))
{
}

turn_history::~turn_history()
{
    // Callbacks of the store that arrive later are ignored.
    *alive_ = false;
}

turn_history::turn_ptr turn_history::find(request_id const& id)
{
    auto const found = cache_.find(id);
    if (found == cache_.end())
        return nullptr;
    recency_.splice(recency_.end(), recency_, found->second.recency_position);
    return found->second.turn;
}

void turn_history::add_to_cache(turn_ptr turn)
{
    if (cache_.count(turn->id) > 0)
        return;
    cached_bytes_ += turn->bytes();
    auto const recency_position = recency_.insert(recency_.end(), turn->id);
    auto const id = turn->id;
    cache_.emplace(id, cached_turn{std::move(turn), recency_position});
    while (cached_bytes_ > options_.cache_bytes && recency_.size() > 1)
    {
        auto const oldest = cache_.find(recency_.front());
        cached_bytes_ -= oldest->second.turn->bytes();
        cache_.erase(oldest);
        recency_.pop_front();
    }
}

bool turn_history::has_cached_chain(request_id const& last)
{
    auto const turn = find(last);
    return turn &&
           std::all_of(
               turn->chain.begin(), turn->chain.end(),
               [this](request_id const& one) { return cache_.count(one) > 0; });
}

std::vector<turn_history::turn_ptr>
turn_history::cached_chain(request_id const& last)
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
    request_id const& last, chain_fn done, std::string const& group,
    std::chrono::milliseconds retry_for)
{
    auto const load_state = std::make_shared<chain_load>();
    load_state->done = std::move(done);
    load_state->retry_until = options_.clock() + retry_for;
    load_state->last_lookup = std::make_shared<turn_lookup>();
    load_state->last_lookup->id = last;
    if (!peers_.request_chain || group.empty() || has_cached_chain(last))
    {
        load_from_store(load_state);
        return;
    }
    peers_.request_chain(
        group, last,
        [this, alive = alive_, load_state]
        {
            if (*alive)
                load_from_store(load_state);
        });
}

void turn_history::load_from_store(chain_load_ptr const& load_state)
{
    auto const& lookup = load_state->last_lookup;
    load_state->last = find(lookup->id);
    if (load_state->last)
    {
        load_chain(load_state);
        return;
    }
    auto const done = [this, load_state](turn_result const& result)
    {
        if (result.answer == history_answer::found)
        {
            load_state->last = result.turn;
            load_chain(load_state);
            return;
        }
        auto const& id = load_state->last_lookup->id;
        if (is_transient(result.failure) && answers(id) &&
            schedule_retry(
                load_state,
                [this, load_state] { load_from_store(load_state); }))
            return;
        load_state->done(result.answer, failed_chain({id, result.failure}));
    };
    run_lookup(lookup, done);
}

void turn_history::load_chain(chain_load_ptr const& load_state)
{
    auto const& ids = load_state->last->chain;
    load_state->turns.resize(ids.size());
    for (std::size_t i = 0; i < ids.size(); ++i)
    {
        load_state->turns[i] = find(ids[i]);
        if (!load_state->turns[i])
            load_state->waiting.push_back(i);
    }
    read_waiting(load_state);
}

/// Starts reads of waiting predecessors up to the limit. Ends the round once
/// all have ended.
void turn_history::read_waiting(chain_load_ptr const& load_state)
{
    if (load_state->starting_reads)
        return;
    load_state->starting_reads = true;
    while (!load_state->waiting.empty() &&
           load_state->in_flight < options_.max_reads_per_load)
    {
        auto const index = load_state->waiting.front();
        load_state->waiting.pop_front();
        ++load_state->in_flight;
        auto& lookup = load_state->lookups[index];
        if (!lookup)
        {
            lookup = std::make_shared<turn_lookup>();
            lookup->id = load_state->last->chain[index];
        }
        run_lookup(
            lookup, [this, load_state, index](turn_result const& result)
            { on_predecessor_read(load_state, index, result); });
    }
    load_state->starting_reads = false;
    if (load_state->in_flight == 0 && load_state->waiting.empty())
        end_round(load_state);
}

void turn_history::on_predecessor_read(
    chain_load_ptr const& load_state, std::size_t index,
    turn_result const& result)
{
    --load_state->in_flight;
    load_state->turns[index] = result.turn;
    if (!result.turn)
    {
        load_state->failed.push_back({index, result.failure});
        // A chain with a missing predecessor can't be continued.
        if (!is_transient(result.failure))
            load_state->waiting.clear();
    }
    read_waiting(load_state);
}

void turn_history::end_round(chain_load_ptr const& load_state)
{
    auto& failed = load_state->failed;
    auto const& ids = load_state->last->chain;
    auto const may_retry =
        !failed.empty() &&
        std::all_of(
            failed.begin(), failed.end(),
            [](auto const& one) { return is_transient(one.cause); }) &&
        std::any_of(
            failed.begin(), failed.end(),
            [this, &ids](auto const& one) { return answers(ids[one.index]); });
    if (may_retry && schedule_retry(
                         load_state,
                         [this, load_state]
                         {
                             for (auto const& one : load_state->failed)
                                 load_state->waiting.push_back(one.index);
                             load_state->failed.clear();
                             read_waiting(load_state);
                         }))
        return;
    if (!failed.empty())
    {
        // Only the last turn can be reported as unknown; a missing predecessor
        // is reported as unavailable.
        auto const oldest = std::min_element(
            failed.begin(), failed.end(),
            [](auto const& a, auto const& b) { return a.index < b.index; });
        load_state->done(
            history_answer::store_unavailable,
            failed_chain(
                {ids[oldest->index], oldest->cause, oldest->index + 1,
                 ids.size() + 1, failed.size()}));
        return;
    }
    turn_chain chain;
    chain.ids = ids;
    chain.ids.push_back(load_state->last->id);
    chain.removable_at = removable_at(*load_state->last);
    for (auto const& turn : load_state->turns)
    {
        chain.text.append(turn->input).append(turn->output);
        chain.removable_at = std::min(chain.removable_at, removable_at(*turn));
    }
    chain.text.append(load_state->last->input).append(load_state->last->output);
    load_state->done(history_answer::found, std::move(chain));
}

/// \return false if no time is left; \c what is not run then.
bool turn_history::schedule_retry(
    chain_load_ptr const& load_state, std::function<void()> what)
{
    auto const delay = std::min(
        options_.first_retry_delay * (1 << std::min(load_state->retries, 10)),
        options_.max_retry_delay);
    if (!options_.schedule_after ||
        options_.clock() + delay >= load_state->retry_until)
        return false;
    ++load_state->retries;
    options_.schedule_after(
        delay,
        [alive = alive_, what = std::move(what)]
        {
            if (*alive)
                what();
        });
    return true;
}

void turn_history::run_lookup(
    turn_lookup_ptr const& lookup, turn_fn const& done)
{
    ++lookup->run;
    lookup->pending = 1;
    lookup->reads_others = false;
    lookup->inconclusive = false;
    lookup->failure = turn_failure::none;
    std::size_t candidate = 0;
    while (candidate + 1 < partition_candidates && lookup->empty[candidate])
        ++candidate;
    read_candidate(lookup, candidate, done);
}

void turn_history::read_candidate(
    turn_lookup_ptr const& lookup, std::size_t candidate, turn_fn const& done)
{
    auto const at = chunk_address(lookup->id, candidate, 0);
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.timeout,
        [this, alive = alive_, lookup, candidate, done,
         run = lookup->run](range_result const& result)
        {
            if (*alive && lookup->run == run)
                on_candidate_read(lookup, candidate, done, result);
        });
}

void turn_history::on_candidate_read(
    turn_lookup_ptr const& lookup, std::size_t candidate, turn_fn const& done,
    range_result const& result)
{
    --lookup->pending;
    if (result.outcome == store_outcome::done && !result.rows.empty())
    {
        ++lookup->run;
        auto const& value = result.rows.front().value;
        auto const head = decode_turn_header(value);
        if (head)
        {
            fetch_chunks(
                lookup->id, candidate, value.substr(head->size), *head, done);
        }
        else
        {
            // The turn exists but its header is invalid, so it is not
            // reported as unknown.
            done(
                {history_answer::store_unavailable, nullptr,
                 turn_failure::malformed});
        }
        return;
    }
    lookup->empty[candidate] = result.outcome == store_outcome::done;
    if (!lookup->empty[candidate] && !lookup->inconclusive)
    {
        lookup->inconclusive = true;
        lookup->failure = failure_of(result);
    }
    if (!lookup->reads_others)
    {
        lookup->reads_others = true;
        std::vector<std::size_t> others;
        for (auto i = candidate + 1; i < partition_candidates; ++i)
        {
            if (!lookup->empty[i])
                others.push_back(i);
        }
        lookup->pending += others.size();
        for (auto const other : others)
            read_candidate(lookup, other, done);
        if (!others.empty())
            return;
    }
    if (lookup->pending > 0)
        return;
    if (lookup->inconclusive)
        done({history_answer::store_unavailable, nullptr, lookup->failure});
    else
        done({history_answer::unknown_turn, nullptr, turn_failure::missing});
}

void turn_history::fetch_chunks(
    request_id const& id, std::size_t candidate, std::string first_chunk,
    turn_header const& head, turn_fn const& done)
{
    struct chunk_set
    {
        std::vector<std::string> chunks;
        std::size_t missing = 1;
        turn_failure failure = turn_failure::none;
    };
    auto const all = std::make_shared<chunk_set>();
    all->chunks.resize(std::max<std::size_t>(head.chunk_count, 1));
    all->chunks[0] = std::move(first_chunk);
    auto const on_chunk_read = [this, alive = alive_, all, id, done,
                                kept_for = head.kept_for,
                                written_at = time_of_writing(head)]
    {
        if (--all->missing > 0 || !*alive)
            return;
        std::string bytes;
        for (auto const& part : all->chunks)
            bytes += part;
        if (all->failure != turn_failure::none)
        {
            done({history_answer::store_unavailable, nullptr, all->failure});
            return;
        }
        auto const turn = decode_turn(id, bytes, kept_for, written_at);
        if (!turn)
        {
            done(
                {history_answer::store_unavailable, nullptr,
                 turn_failure::malformed});
            return;
        }
        add_to_cache(turn);
        done({history_answer::found, turn, turn_failure::none});
    };
    for (std::size_t i = 1; i < head.chunk_count; ++i)
    {
        ++all->missing;
        auto const at = chunk_address(id, candidate, i);
        store_.read(
            {at.table, at.partition, at.key, at.key + '\0'}, options_.timeout,
            [all, i, on_chunk_read](range_result const& result)
            {
                if (result.outcome != store_outcome::done)
                    all->failure = failure_of(result);
                else if (result.rows.empty())
                    all->failure = turn_failure::missing;
                else
                    all->chunks[i] = result.rows.front().value;
                on_chunk_read();
            });
    }
    on_chunk_read();
}

/// \return true if any candidate partition of a turn responds.
bool turn_history::answers(request_id const& id) const
{
    for (std::size_t i = 0; i < partition_candidates; ++i)
    {
        if (answers(id, i))
            return true;
    }
    return false;
}

bool turn_history::answers(request_id const& id, std::size_t candidate) const
{
    return !store_.answers || store_.answers(partition(id, candidate));
}

void turn_history::continue_chain(
    turn_chain const& chain, stored_turn& turn) const
{
    auto const needed_until =
        options_.clock() + turn.kept_for + clock_allowance;
    if (chain.removable_at >= needed_until)
        turn.chain = chain.ids;
    else
        turn.input.insert(0, chain.text);
}

/// \return the time at which the row was written, by this node's clock.
time_point turn_history::time_of_writing(turn_header const& head) const
{
    std::chrono::seconds const age(options_.utc() - head.written_at);
    if (age < -max_clock_lead)
        return time_point::min();
    return options_.clock() - std::max(age, std::chrono::seconds(0));
}

void turn_history::store_turn(
    stored_turn turn, std::chrono::milliseconds timeout, stored_fn done,
    std::string const& group)
{
    auto const write = std::make_shared<turn_write>();
    turn.written_at = options_.clock();
    write->turn = std::make_shared<stored_turn const>(std::move(turn));
    write->group = group;
    write->done = std::move(done);
    write->timeout = timeout;
    std::iota(
        write->candidate_order.begin(), write->candidate_order.end(),
        std::size_t{0});
    std::stable_partition(
        write->candidate_order.begin(), write->candidate_order.end(),
        [this, &write](std::size_t candidate)
        { return answers(write->turn->id, candidate); });
    write_candidate(write);
    schedule_fallback(write);
}

void turn_history::write_candidate(turn_write_ptr const& write)
{
    auto const candidate = write->candidate_order[write->candidates_tried];
    ++write->candidates_tried;
    ++write->pending;
    auto const rows = std::make_shared<std::vector<row_value>>(
        make_rows(*write->turn, candidate, options_.row_bytes, options_.utc()));
    write_chunks(
        rows, 0, write->timeout - write->elapsed,
        [this, write](bool durable) { on_candidate_written(write, durable); });
}

/// Periodically checks the candidate tried last and writes to the next one if
/// the former is unresponsive and the latter responds.
void turn_history::schedule_fallback(turn_write_ptr const& write)
{
    if (!options_.schedule_after ||
        write->candidates_tried >= partition_candidates)
        return;
    options_.schedule_after(
        options_.fallback_check_interval,
        [this, alive = alive_, write]
        {
            if (!*alive || write->finished)
                return;
            write->elapsed += options_.fallback_check_interval;
            if (write->elapsed >= write->timeout)
                return;
            auto const& id = write->turn->id;
            if (!answers(
                    id, write->candidate_order[write->candidates_tried - 1]) &&
                answers(id, write->candidate_order[write->candidates_tried]))
                write_candidate(write);
            schedule_fallback(write);
        });
}

void turn_history::on_candidate_written(
    turn_write_ptr const& write, bool durable)
{
    --write->pending;
    if (write->finished || (!durable && write->pending > 0))
        return;
    write->finished = true;
    if (durable)
    {
        add_to_cache(write->turn);
        if (peers_.announce && !write->group.empty())
            peers_.announce(write->group, write->turn);
    }
    write->done(durable);
}

/// Writes the first chunk last, so that its presence implies that all chunks
/// are present.
void turn_history::write_chunks(
    std::shared_ptr<std::vector<row_value>> const& rows, std::size_t from,
    std::chrono::milliseconds timeout, stored_fn done)
{
    row_transaction transaction;
    std::size_t bytes = 0;
    auto next = from;
    while (next < rows->size() && bytes < transaction_bytes)
    {
        bytes += (*rows)[next].value.size();
        transaction.writes.push_back((*rows)[next]);
        ++next;
    }
    store_.commit(
        std::move(transaction), timeout,
        [this, alive = alive_, rows, next, timeout,
         done = std::move(done)](transaction_result const& result)
        {
            if (!*alive)
                return;
            if (result.outcome != store_outcome::done)
                done(false);
            else if (next < rows->size())
                write_chunks(rows, next, timeout, done);
            else
                done(true);
        });
}

} // namespace walnutmill
