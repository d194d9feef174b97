#ifndef WALNUTMILL_SRC_JOURNAL_HPP
#define WALNUTMILL_SRC_JOURNAL_HPP

/// \file
/// Group commit of one session, without network or threads.
///
/// All transactions of a node go through here one at a time. Each advances
/// the counter of the session's row and is conditional on that row being as
/// the last one left it. So a fenced session commits nothing, and a commit
/// whose answer was lost is resolved by reading one row: it holds either the
/// new value (committed), the old one (send the same transaction again), or
/// a fenced one, whose counter tells whether the commit came first.

#include <walnutmill/platform.hpp>
#include <walnutmill/record.hpp>

#include "session.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace walnutmill
{

/// Names a group of appended records or an exclusive transaction.
using ticket = std::uint64_t;

/// Writes that must not fail other programs' records: sent alone.
struct exclusive_commit
{
    std::vector<condition> conditions;
    std::vector<row_write> writes;
};

enum class ticket_status
{
    committed,
    /// Only for exclusive commits: another condition did not hold.
    refused
};

struct ticket_result
{
    ticket id = 0;
    ticket_status status = ticket_status::committed;
    /// Counter of the commit that carried it.
    std::uint64_t counter = 0;
};

/// The journal of one session.
class journal
{
public:
    /// Largest number of record bytes in one commit, encoded; more wait for
    /// the next. Rows of table services are commonly bounded near this.
    static constexpr std::size_t max_batch_bytes = 256 * std::size_t(1024);

    /// \param opened the session's row as it stands in the table
    explicit journal(session_state opened);

    /// Adds records to the next commit; they are committed together.
    ticket append(std::vector<journal_record> records);
    ticket append_exclusive(exclusive_commit work);
    /// Journal rows to erase along with the next commit.
    void erase_rows(std::vector<std::string> keys);
    /// Fields of the session's row for later commits.
    void set_configuration(std::uint64_t version);
    void set_leaving();

    /// Whether records or exclusive work wait or are under way.
    bool busy() const noexcept;
    bool fenced() const noexcept { return fenced_; }
    /// Whether the row must be read before anything else can be said.
    bool in_doubt() const noexcept { return in_doubt_; }
    session_state const& session() const noexcept { return committed_; }

    /// The transaction to send now: the one under way, else a new one with
    /// what waits, else with `beat` an empty one. Nothing while in doubt.
    std::optional<transaction> next(bool beat);
    /// Takes the table's answer to next().
    std::vector<ticket_result> on_result(commit_result const& answer);
    /// Takes the session's row read while in doubt; nullopt: it is absent.
    std::vector<ticket_result> on_row(std::optional<std::string> const& value);

private:
    struct waiting_work
    {
        ticket id = 0;
        std::vector<journal_record> records;
        std::optional<exclusive_commit> exclusive;
        std::size_t bytes = 0;
    };
    struct flight
    {
        transaction txn;
        session_state after;
        std::vector<ticket> tickets;
        bool exclusive = false;
        /// Another attempt of it may still reach the table.
        bool doubted = false;
    };

    void start_flight();
    void add_group(flight& next_flight);
    void add_exclusive(flight& next_flight, waiting_work work);
    std::vector<ticket_result> finish(ticket_status status);
    void lose();

    session_state committed_;
    bool fenced_ = false;
    bool in_doubt_ = false;
    ticket last_ticket_ = 0;
    std::deque<waiting_work> waiting_;
    std::vector<std::string> erase_;
    std::uint64_t configuration_ = 0;
    bool leaving_ = false;
    std::optional<flight> flight_;
};

} // namespace walnutmill

#endif
