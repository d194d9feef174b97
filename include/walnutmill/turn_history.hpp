#ifndef WALNUTMILL_TURN_HISTORY_HPP
#define WALNUTMILL_TURN_HISTORY_HPP

/// \file
/// The kept turns: what was said in each, found by the id of its request from
/// any node, also by programs that come after.
///
/// A turn is a row that never changes, so a cached copy is never stale. Its
/// row names all turns before it: a node that has none of them in its cache
/// reads the last one and then the others at once, two round trips for a
/// chain of any length.

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

/// One turn as it is kept.
struct kept_turn
{
    request_id id;
    /// The turns before it, oldest first.
    std::vector<request_id> chain;
    std::string input;
    /// Data of each event, each followed by a line feed.
    std::string output;

    std::size_t bytes() const;
};

std::string encode(kept_turn const& turn);
/// \return null where the bytes are no turn.
std::shared_ptr<kept_turn const>
decode_turn(request_id const& id, std::string_view bytes);

/// What the first row of a kept turn says beside its bytes.
struct turn_head
{
    /// Rows that the turn takes, this one included.
    std::size_t pieces = 1;
    /// When it was written, in UTC seconds.
    std::int64_t written_at = 0;
    /// Where the turn's bytes begin.
    std::size_t size = 0;
};
/// \return what a turn's first row begins with.
std::string encode_turn_head(std::size_t pieces, std::int64_t written_at);
/// \return empty where the value is no turn's first row.
std::optional<turn_head> decode_turn_head(std::string_view value);

enum class history_answer
{
    found,
    /// There is no such turn: the store said so.
    unknown_turn,
    store_unavailable
};

/// A chain of turns as the next turn needs it.
struct turn_chain
{
    /// Ids, oldest first, the one asked for last.
    std::vector<request_id> ids;
    /// Their inputs and outputs in order.
    std::string text;
};

struct history_options
{
    /// Bytes of turns cached: a busy node's turns of a minute (8 a second of
    /// 5 KB) take 2.5 MB, first turns with 14 KB prompts 4 MB more.
    std::size_t cache_bytes = 16'777'216;
    /// Bytes of a value in one row. The platform takes 65,536; base64 may or
    /// may not count, so a row stays below three quarters of that.
    std::size_t row_bytes = 45'000;
    std::chrono::milliseconds patience{2'500};
    /// A turn whose partition has not answered by then is written to another
    /// one, too, if that answers: when a partition counts as silent (300 ms),
    /// and a look later.
    std::chrono::milliseconds look_after{350};
    /// Calls back after a time; null: turns are written to one partition only.
    std::function<void(std::chrono::milliseconds, std::function<void()>)> later;
    /// Stamps turns, so that old ones can be removed.
    utc_fn utc = system_utc();
};

/// Other nodes that may have a turn cached.
struct history_peers
{
    /// Asks for a turn and those before it. What comes is remembered before
    /// \c done is called.
    std::function<void(
        std::string const& group, request_id const& last,
        std::function<void()> done)>
        ask;
    /// Tells of a turn that was kept.
    std::function<void(
        std::string const& group, std::shared_ptr<kept_turn const> turn)>
        offer;
};

class turn_history
{
public:
    using turn_ptr = std::shared_ptr<kept_turn const>;
    using chain_fn = std::function<void(history_answer, turn_chain)>;
    using kept_fn = std::function<void(bool durable)>;

    /// \return the store's table of turns.
    static char const* table();
    /// \return the key of a turn's row, 0 being the first.
    static std::string piece_key(request_id const& id, std::size_t piece);
    /// Partitions that a turn may lie in. With three, 24 in 1,000 turns find
    /// all of theirs away while 29 in 100 partitions are; with one it is 290,
    /// and each of them fails its program.
    static constexpr std::size_t ways = 3;
    /// \param way 0: where a turn usually lies
    static std::string partition(request_id const& id, std::size_t way);

    explicit turn_history(versioned_store store, history_options options = {});
    ~turn_history();
    turn_history(turn_history const&) = delete;
    turn_history& operator=(turn_history const&) = delete;

    /// Finds a turn and all before it.
    /// \param done called once, maybe at once
    /// \param group turns with the same one lie at the same peer; empty: peers
    /// are not asked
    void
    load(request_id const& last, chain_fn done, std::string const& group = {});

    /// Makes a turn durable.
    void keep(
        kept_turn turn, std::chrono::milliseconds patience, kept_fn done,
        std::string const& group = {});

    void set_peers(history_peers peers) { peers_ = std::move(peers); }
    /// \return the turn and those before it, as far as they are cached; none
    /// where the turn itself is not.
    std::vector<turn_ptr> cached(request_id const& last);
    /// \return true where the turn and all before it are cached.
    bool has_chain(request_id const& last);
    /// A turn that another node knows to be durable.
    void remember(turn_ptr turn);

    std::size_t cached_bytes() const { return cached_bytes_; }

private:
    struct loading;
    using loading_ptr = std::shared_ptr<loading>;
    struct search;
    using search_ptr = std::shared_ptr<search>;
    struct keeping;
    using keeping_ptr = std::shared_ptr<keeping>;
    using turn_fn = std::function<void(history_answer, turn_ptr)>;
    struct cached_turn
    {
        turn_ptr turn;
        std::list<request_id>::iterator use;
    };

    turn_ptr find(request_id const& id);
    void load_from_store(request_id const& last, chain_fn done);
    void fetch(request_id const& id, turn_fn done);
    void search_way(search_ptr const& one, std::size_t way);
    void way_searched(
        search_ptr const& one, std::size_t way, range_result const& result);
    void fetch_pieces(
        request_id const& id, std::size_t way, std::string first,
        std::size_t pieces, turn_fn const& done);
    void load_chain(loading_ptr const& one);
    void one_loaded(loading_ptr const& one);
    bool answers(request_id const& id, std::size_t way) const;
    void keep_way(keeping_ptr const& one);
    void watch(keeping_ptr const& one);
    void way_kept(keeping_ptr const& one, bool durable);
    void write_pieces(
        std::shared_ptr<std::vector<row_value>> const& rows, std::size_t from,
        std::chrono::milliseconds patience, kept_fn done);

    versioned_store store_;
    history_options options_;
    history_peers peers_;
    std::unordered_map<request_id, cached_turn> cache_;
    /// Least recently used first.
    std::list<request_id> uses_;
    std::size_t cached_bytes_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace walnutmill

#endif
