#include "journal.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

/// What a record adds to a batch beside its texts.
constexpr std::size_t record_overhead = 160;

std::size_t size_of(journal_record const& record)
{
    auto const* outcome = std::get_if<call_outcome>(&record.body);
    if (outcome == nullptr)
        return record_overhead;
    return record_overhead + outcome->input.size() + outcome->output.size();
}

} // namespace

journal::journal(session_state opened)
    : committed_(std::move(opened)), configuration_(committed_.configuration),
      leaving_(committed_.leaving)
{
}

ticket journal::append(std::vector<journal_record> records)
{
    waiting_work work;
    work.id = ++last_ticket_;
    for (auto const& record : records)
        work.bytes += size_of(record);
    work.records = std::move(records);
    waiting_.push_back(std::move(work));
    return last_ticket_;
}

ticket journal::append_exclusive(exclusive_commit exclusive)
{
    waiting_work work;
    work.id = ++last_ticket_;
    work.exclusive = std::move(exclusive);
    waiting_.push_back(std::move(work));
    return last_ticket_;
}

void journal::erase_rows(std::vector<std::string> keys)
{
    erase_.insert(erase_.end(), keys.begin(), keys.end());
}

void journal::set_configuration(std::uint64_t version)
{
    configuration_ = std::max(configuration_, version);
}

void journal::set_leaving()
{
    leaving_ = true;
}

bool journal::busy() const noexcept
{
    return flight_.has_value() || !waiting_.empty();
}

std::optional<transaction> journal::next(bool beat)
{
    if (fenced_ || in_doubt_)
        return std::nullopt;
    if (!flight_ && (beat || !waiting_.empty()))
        start_flight();
    if (!flight_)
        return std::nullopt;
    return flight_->txn;
}

void journal::start_flight()
{
    flight next_flight;
    next_flight.after = committed_;
    next_flight.after.counter = committed_.counter + 1;
    next_flight.after.configuration = configuration_;
    next_flight.after.leaving = leaving_;
    auto& txn = next_flight.txn;
    // The counter alone would name a refused exclusive commit like its
    // successor, so the last ticket goes into the id too.
    txn.id = committed_.id.str() + "#" +
             std::to_string(next_flight.after.counter) + "." +
             std::to_string(waiting_.empty() ? 0 : waiting_.front().id);
    next_flight.after.transaction = txn.id;
    auto const key = session_key(committed_.id);
    txn.conditions.push_back({key, encode_session(committed_)});
    txn.writes.push_back({key, encode_session(next_flight.after)});
    if (!waiting_.empty() && waiting_.front().exclusive)
    {
        auto work = std::move(waiting_.front());
        waiting_.pop_front();
        add_exclusive(next_flight, std::move(work));
    }
    else
    {
        add_group(next_flight);
    }
    flight_ = std::move(next_flight);
}

void journal::add_exclusive(flight& next_flight, waiting_work work)
{
    next_flight.exclusive = true;
    next_flight.tickets.push_back(work.id);
    auto& txn = next_flight.txn;
    for (auto& one : work.exclusive->conditions)
        txn.conditions.push_back(std::move(one));
    for (auto& one : work.exclusive->writes)
        txn.writes.push_back(std::move(one));
}

void journal::add_group(flight& next_flight)
{
    std::vector<journal_record> batch;
    std::size_t bytes = 0;
    while (!waiting_.empty() && !waiting_.front().exclusive)
    {
        auto& work = waiting_.front();
        if (!batch.empty() && bytes + work.bytes > max_batch_bytes)
            break;
        bytes += work.bytes;
        for (auto& record : work.records)
            batch.push_back(std::move(record));
        next_flight.tickets.push_back(work.id);
        waiting_.pop_front();
    }
    auto& writes = next_flight.txn.writes;
    if (!batch.empty())
    {
        writes.push_back(
            {journal_key(committed_.id, next_flight.after.counter),
             encode_records(batch)});
    }
    for (auto& key : erase_)
        writes.push_back({std::move(key), std::nullopt});
    erase_.clear();
}

std::vector<ticket_result> journal::on_result(commit_result const& answer)
{
    if (!flight_)
        return {};
    switch (answer.status)
    {
    case commit_status::committed:
        return finish(ticket_status::committed);
    case commit_status::not_sent:
        return {};
    case commit_status::in_doubt:
        flight_->doubted = true;
        in_doubt_ = true;
        return {};
    case commit_status::refused:
        break;
    }
    auto const key = session_key(committed_.id);
    auto const& failed = answer.failed;
    bool const session_changed =
        std::find(failed.begin(), failed.end(), key) != failed.end();
    if (session_changed || flight_->doubted || !flight_->exclusive)
    {
        // Either an earlier attempt took effect or the session is fenced.
        in_doubt_ = true;
        flight_->doubted = flight_->doubted || session_changed;
        if (!session_changed && flight_->exclusive)
            flight_->doubted = false;
        return {};
    }
    return finish(ticket_status::refused);
}

std::vector<ticket_result>
journal::on_row(std::optional<std::string> const& value)
{
    if (!in_doubt_)
        return {};
    in_doubt_ = false;
    if (!value)
    {
        lose();
        return {};
    }
    if (*value == encode_session(committed_))
        return {};
    if (flight_ && *value == encode_session(flight_->after))
        return finish(ticket_status::committed);
    auto const row = decode_session(*value);
    bool const first =
        flight_ && row && row.value().transaction == flight_->after.transaction;
    auto done =
        first ? finish(ticket_status::committed) : std::vector<ticket_result>();
    lose();
    return done;
}

std::vector<ticket_result> journal::finish(ticket_status status)
{
    std::vector<ticket_result> done;
    for (auto id : flight_->tickets)
        done.push_back({id, status, flight_->after.counter});
    if (status == ticket_status::committed)
        committed_ = flight_->after;
    flight_.reset();
    return done;
}

void journal::lose()
{
    fenced_ = true;
    flight_.reset();
    waiting_.clear();
}

} // namespace walnutmill
