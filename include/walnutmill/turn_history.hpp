#ifndef WALNUTMILL_TURN_HISTORY_HPP
#define WALNUTMILL_TURN_HISTORY_HPP

/// \file
/// Durable store of conversation turns with an in-memory LRU cache.
///
/// Any node can look up the input and output of a turn by its request id, also
/// on behalf of a later program. A stored turn is immutable, so a cached copy
/// is never stale.
///
/// Load pattern: a turn may reach a node that has none of its predecessors
/// cached. Each turn stores the ids of all its predecessors. The node reads the
/// last turn and then all others in parallel, which takes two round trips for a
/// chain of any length. Without the list of ids the number of round trips would
/// grow with the length of the chain.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/versioned_store.hpp>
#include <walnutmill/wall_clock.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// A turn in its stored form.
struct stored_turn
{
    request_id id;
    /// Ids of the preceding turns, oldest first.
    std::vector<request_id> chain;
    std::string input;
    /// Data of all output events, each followed by a line feed.
    std::string output;
    /// Time for which the row is to be retained; not part of the encoding.
    std::chrono::seconds kept_for{0};
    /// When the row was written, or earlier, by this node's clock; not part of
    /// the encoding. The default means that it is unknown.
    time_point written_at = time_point::min();

    /// \return the estimated memory use in bytes, overhead included.
    std::size_t bytes() const;
};

/// Encodes the chain, input and output of a turn as CBOR; the id is omitted.
std::string encode(stored_turn const& turn);
/// Decodes the result of encode().
/// \return null if the bytes are not a valid turn.
/// \param kept_for, written_at as in stored_turn
std::shared_ptr<stored_turn const> decode_turn(
    request_id const& id, std::string_view bytes,
    std::chrono::seconds kept_for = std::chrono::seconds(0),
    time_point written_at = time_point::min());

/// Header at the start of the first row of a stored turn.
struct turn_header
{
    /// Number of rows of the turn, including this one.
    std::size_t chunk_count = 1;
    /// Time of writing in UTC seconds.
    std::int64_t written_at = 0;
    /// Time for which the turn is to be retained; zero if it does not say.
    std::chrono::seconds kept_for{0};
    /// Size of the header in bytes, which is the offset of the encoded turn.
    std::size_t size = 0;
};
/// \return the header text for the first row of a turn.
std::string encode_turn_header(
    std::size_t chunk_count, std::int64_t written_at,
    std::chrono::seconds kept_for);
/// \return nullopt if the value is not the first row of a turn.
std::optional<turn_header> decode_turn_header(std::string_view value);

/// Result of a lookup.
enum class history_answer
{
    found,
    /// The store confirmed that the turn does not exist.
    unknown_turn,
    /// The store did not answer, or the turn or one of its predecessors is
    /// incomplete, invalid or missing; the turn may exist.
    store_unavailable
};

/// Why a turn could not be loaded.
enum class turn_failure
{
    none,
    /// The store did not answer in time.
    unanswered,
    /// The store answered with an error, for example over its rate.
    refused,
    /// The partition had left requests unanswered, so none was sent.
    not_sent,
    /// The store confirmed that a row of the turn does not exist.
    missing,
    /// A row of the turn is not valid.
    malformed
};
std::string_view to_string(turn_failure failure);

/// The turn for which a chain could not be loaded.
struct history_failure
{
    request_id turn;
    turn_failure cause = turn_failure::none;
    /// Position of the turn in its chain; 1 is the oldest.
    std::size_t position = 1;
    /// Turns of the chain, of which some may not be known: 1 if the failed turn
    /// is the requested one.
    std::size_t chain_length = 1;
    /// Turns that could not be loaded.
    std::size_t failed_turns = 1;
};

/// A turn with its predecessors, as the context of the next turn.
struct turn_chain
{
    /// Ids, oldest first; the requested turn is the last one.
    std::vector<request_id> ids;
    /// Inputs and outputs of these turns, concatenated in order.
    std::string text;
    /// Earliest time at which a row of these turns may be removed; the default
    /// means that it is unknown.
    time_point removable_at = time_point::min();
    /// Set unless the chain was found.
    std::optional<history_failure> failure;
};

struct history_options
{
    /// Upper limit of the cache in bytes. A busy node handles 8 turns of 5 KB
    /// per second, which is 2.5 MB per minute. First turns with prompts of
    /// 14 KB add 4 MB.
    std::size_t cache_bytes = 16'777'216;
    /// Upper limit of the value of one row in bytes. The platform accepts
    /// 65,536. It may apply that limit to the base64 form, so a row stays below
    /// three quarters of it.
    std::size_t row_bytes = 45'000;
    /// Timeout of each read of the store.
    std::chrono::milliseconds timeout{2'500};
    /// Limit of the turns of one load that are looked up at the same time. A
    /// chain of 18 turns that no node has cached takes three round trips.
    std::size_t max_reads_per_load = 8;
    /// Delays before failed reads of a load are repeated; each is twice the one
    /// before.
    std::chrono::milliseconds first_retry_delay{50};
    std::chrono::milliseconds max_retry_delay{400};
    /// Interval at which a pending write is checked. If its partition is
    /// unresponsive, the turn is also written to another one that responds. A
    /// partition counts as unresponsive after 300 ms, so the first check comes
    /// shortly after that.
    std::chrono::milliseconds fallback_check_interval{350};
    /// Runs a function after a delay. If null, each turn is written to one
    /// partition only, and failed reads are not repeated.
    std::function<void(std::chrono::milliseconds, std::function<void()>)>
        schedule_after;
    /// Clock for the time of writing, by which expired turns are removed.
    utc_fn utc = system_utc();
    /// Clock for the ages of cached turns.
    clock_fn clock = monotonic_clock();
};

/// Access to the turn caches of other nodes.
struct history_peers
{
    /// Requests a turn and its predecessors from a peer. The turns received are
    /// in the cache before \c done is called.
    std::function<void(
        std::string const& group, request_id const& last,
        std::function<void()> done)>
        request_chain;
    /// Sends a turn that has become durable to a peer.
    std::function<void(
        std::string const& group, std::shared_ptr<stored_turn const> turn)>
        announce;
};

/// Reads and writes turns, with a cache in front of the store.
class turn_history
{
public:
    using turn_ptr = std::shared_ptr<stored_turn const>;
    using chain_fn = std::function<void(history_answer, turn_chain)>;
    using stored_fn = std::function<void(bool durable)>;

    /// \return the name of the table of turns.
    static char const* table();
    /// \return the key of the row of a chunk; the first chunk is 0.
    static std::string chunk_key(request_id const& id, std::size_t chunk);
    /// Number of partitions that may hold a given turn. While 29 of 100
    /// partitions are unavailable, all three candidates are unavailable for
    /// 24 of 1,000 turns. With one candidate it is 290 of 1,000, and each such
    /// turn fails its program.
    static constexpr std::size_t partition_candidates = 3;
    /// \param candidate index below partition_candidates; 0 is the partition
    /// that is used by default
    static std::string partition(request_id const& id, std::size_t candidate);
    /// A turn's rows are removed once they are older than its retention and
    /// this margin, which allows for clocks that differ by minutes.
    static constexpr std::chrono::seconds removal_margin{600};

    explicit turn_history(versioned_store store, history_options options = {});
    ~turn_history();
    turn_history(turn_history const&) = delete;
    turn_history& operator=(turn_history const&) = delete;

    /// Loads a turn and all its predecessors from the cache, a peer or the
    /// store.
    /// \param done called once, possibly before load() returns
    /// \param group turns of the same group are cached by the same peer; if
    /// empty, no peer is asked
    /// \param retry_for time from now for which reads that failed are repeated
    /// while the store is not lost. Turns that were read meanwhile are not read
    /// again.
    void load(
        request_id const& last, chain_fn done, std::string const& group = {},
        std::chrono::milliseconds retry_for = std::chrono::milliseconds(0));

    /// Makes a turn the successor of a chain, to be stored next. As a rule it
    /// refers to the earlier turns by id. If any of their rows may be removed
    /// before the turn's own retention ends, its input begins with the text of
    /// the chain instead and it refers to no other turn.
    /// \param turn a turn with its own input and its retention
    void continue_chain(turn_chain const& chain, stored_turn& turn) const;

    /// Writes a turn to the store.
    /// \param timeout limit of each transaction; the time spent before a
    /// fallback to another partition is subtracted
    /// \param done called once; \c durable is false if the write failed or its
    /// outcome is unknown
    /// \param group as in load(); if not empty, a peer gets the durable turn
    void store_turn(
        stored_turn turn, std::chrono::milliseconds timeout, stored_fn done,
        std::string const& group = {});

    void set_peers(history_peers peers) { peers_ = std::move(peers); }
    /// \return the turn and those of its predecessors that are cached, oldest
    /// first; empty if the turn itself is not cached.
    std::vector<turn_ptr> cached_chain(request_id const& last);
    /// \return true if the turn and all its predecessors are cached.
    bool has_cached_chain(request_id const& last);
    /// Caches a turn that is already durable, for example one from a peer.
    void add_to_cache(turn_ptr turn);

    std::size_t cached_bytes() const { return cached_bytes_; }

private:
    struct chain_load;
    using chain_load_ptr = std::shared_ptr<chain_load>;
    struct turn_lookup;
    using turn_lookup_ptr = std::shared_ptr<turn_lookup>;
    struct turn_write;
    using turn_write_ptr = std::shared_ptr<turn_write>;
    struct turn_result
    {
        history_answer answer = history_answer::store_unavailable;
        turn_ptr turn;
        turn_failure failure = turn_failure::none;
    };
    using turn_fn = std::function<void(turn_result)>;
    struct cached_turn
    {
        turn_ptr turn;
        std::list<request_id>::iterator recency_position;
    };

    turn_ptr find(request_id const& id);
    void load_from_store(chain_load_ptr const& load_state);
    void load_chain(chain_load_ptr const& load_state);
    void read_waiting(chain_load_ptr const& load_state);
    void on_predecessor_read(
        chain_load_ptr const& load_state, std::size_t index,
        turn_result const& result);
    void end_round(chain_load_ptr const& load_state);
    bool schedule_retry(
        chain_load_ptr const& load_state, std::function<void()> what);
    void run_lookup(turn_lookup_ptr const& lookup, turn_fn const& done);
    void read_candidate(
        turn_lookup_ptr const& lookup, std::size_t candidate,
        turn_fn const& done);
    void on_candidate_read(
        turn_lookup_ptr const& lookup, std::size_t candidate,
        turn_fn const& done, range_result const& result);
    void fetch_chunks(
        request_id const& id, std::size_t candidate, std::string first_chunk,
        turn_header const& head, turn_fn const& done);
    time_point time_of_writing(turn_header const& head) const;
    bool answers(request_id const& id) const;
    bool answers(request_id const& id, std::size_t candidate) const;
    void write_candidate(turn_write_ptr const& write);
    void schedule_fallback(turn_write_ptr const& write);
    void on_candidate_written(turn_write_ptr const& write, bool durable);
    void write_chunks(
        std::shared_ptr<std::vector<row_value>> const& rows, std::size_t from,
        std::chrono::milliseconds timeout, stored_fn done);

    versioned_store store_;
    history_options options_;
    history_peers peers_;
    std::unordered_map<request_id, cached_turn> cache_;
    /// Least recently used first.
    std::list<request_id> recency_;
    std::size_t cached_bytes_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace walnutmill

#endif
