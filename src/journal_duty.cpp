#include "journal_duty.hpp"

#include <walnutmill/logging.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// More than the owner can have under way at once.
constexpr std::size_t ring_capacity = 1 << 16;
constexpr duration first_backoff = std::chrono::milliseconds(20);
constexpr int most_doublings = 5;

} // namespace

journal_duty::journal_duty(
    table_service table, session_state opened, journal_duty_options options,
    journal_duty_hooks hooks, metrics& counters)
    : table_(std::move(table)), options_(std::move(options)),
      hooks_(std::move(hooks)), counters_(counters), ring_(ring_capacity),
      opened_(std::move(opened))
{
    last_commit_ = options_.clock();
    vouched_ = last_commit_.time_since_epoch().count();
    thread_ = std::thread([this] { run(); });
}

journal_duty::~journal_duty()
{
    stopping_ = true;
    ring_.close();
    thread_.join();
}

void journal_duty::append(
    std::uint64_t token, std::vector<journal_record> records)
{
    ++backlog_;
    ring_.push([this, token, records = std::move(records)](journal& log) mutable
               { tokens_[log.append(std::move(records))] = token; });
}

std::future<exclusive_status> journal_duty::exclusive(exclusive_commit work)
{
    auto promise = std::make_shared<std::promise<exclusive_status>>();
    auto future = promise->get_future();
    bool const pushed = ring_.push(
        [this, promise, work = std::move(work)](journal& log) mutable
        { promises_[log.append_exclusive(std::move(work))] = promise; });
    if (!pushed || fenced_)
    {
        std::promise<exclusive_status> lost;
        lost.set_value(exclusive_status::lost);
        return lost.get_future();
    }
    return future;
}

void journal_duty::erase_rows(std::vector<std::string> keys)
{
    ring_.push([keys = std::move(keys)](journal& log) mutable
               { log.erase_rows(std::move(keys)); });
}

void journal_duty::set_configuration(std::uint64_t version)
{
    ring_.push([version](journal& log) { log.set_configuration(version); });
}

void journal_duty::set_leaving()
{
    ring_.push([](journal& log) { log.set_leaving(); });
}

bool journal_duty::fresh() const
{
    auto const vouched = time_point(duration(vouched_.load()));
    return !fenced_ && options_.clock() - vouched < options_.lease;
}

duration journal_duty::time_to_wait(journal const& log) const
{
    auto const since = options_.clock() - last_commit_;
    auto const until =
        log.busy() ? options_.flush_interval : options_.beat_interval;
    return std::max(until - since, duration(0));
}

void journal_duty::run()
{
    journal log(opened_);
    while (!stopping_ && !fenced_)
    {
        for (auto& work : ring_.take_all(time_to_wait(log)))
            work(log);
        if (!stopping_ && time_to_wait(log).count() == 0)
            step(log);
    }
    // What was handed in too late hears that it is lost, too.
    ring_.close();
    for (auto& work : ring_.take_all(duration(0)))
        work(log);
    for (auto& entry : promises_)
        entry.second->set_value(exclusive_status::lost);
    promises_.clear();
}

void journal_duty::step(journal& log)
{
    if (log.in_doubt())
        resolve(log);
    auto const began = options_.clock();
    auto const txn = log.next(true);
    if (!txn)
    {
        if (log.fenced())
            fence();
        return;
    }
    auto const answer = table_.commit(*txn);
    counters_.count("walnutmill_table_writes_total");
    if (answer.status == commit_status::committed)
    {
        vouched_ = began.time_since_epoch().count();
        last_commit_ = options_.clock();
        failures_ = 0;
        counters_.observe(
            "walnutmill_commit_seconds",
            std::chrono::duration<double>(last_commit_ - began).count());
    }
    report(log.on_result(answer));
    counter_ = log.session().counter;
    if (answer.status == commit_status::not_sent ||
        answer.status == commit_status::in_doubt)
        wait_after_failure();
}

void journal_duty::resolve(journal& log)
{
    auto const key = session_key(log.session().id);
    auto const rows = table_.read({key});
    counters_.count("walnutmill_table_reads_total");
    if (!rows)
        return wait_after_failure();
    auto const began = options_.clock();
    std::optional<std::string> value;
    if (!rows.value().empty())
        value = rows.value().front().value;
    auto const results = log.on_row(value);
    if (!results.empty() && !log.fenced())
    {
        vouched_ = began.time_since_epoch().count();
        last_commit_ = began;
    }
    report(results);
}

void journal_duty::report(std::vector<ticket_result> const& results)
{
    std::vector<committed_append> committed;
    for (auto const& result : results)
    {
        auto const promise = promises_.find(result.id);
        if (promise != promises_.end())
        {
            promise->second->set_value(
                result.status == ticket_status::committed
                    ? exclusive_status::committed
                    : exclusive_status::refused);
            promises_.erase(promise);
            continue;
        }
        auto const token = tokens_.find(result.id);
        if (token == tokens_.end())
            continue;
        committed.push_back({token->second, result.counter});
        tokens_.erase(token);
        --backlog_;
    }
    if (!committed.empty())
        hooks_.committed(std::move(committed));
}

void journal_duty::fence()
{
    fenced_ = true;
    write_log(
        severity::warning, "journal", "the session is fenced",
        {{"session", opened_.id.str()}});
    hooks_.fenced();
}

void journal_duty::wait_after_failure()
{
    if (failures_ == 0)
        write_log(severity::warning, "journal", "the table does not answer");
    auto const doublings = std::min(failures_++, most_doublings);
    auto const wait = first_backoff * (1 << doublings);
    counters_.count("walnutmill_table_failures_total");
    std::this_thread::sleep_for(wait);
}

} // namespace walnutmill
