#ifndef WALNUTMILL_TEST_FAKE_STORE_HPP
#define WALNUTMILL_TEST_FAKE_STORE_HPP

/// \file
/// An in-memory version of the platform's versioned store that injects faults
/// at chosen steps. Calls are queued until run() executes them in order.

#include <walnutmill/clock.hpp>
#include <walnutmill/versioned_store.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace walnutmill
{
namespace testing
{

/// The fault injected into a call.
enum class store_fault
{
    none,
    /// The call is not applied, and the caller knows it.
    refuse,
    /// The call is not applied, and its outcome is unknown to the caller.
    lose,
    /// The call is applied, and its outcome is unknown to the caller.
    drop_answer,
    /// The call is applied and its answer is lost. The client's own retry then
    /// fails on the version condition.
    conflict_on_retry,
    /// The outcome is unknown to the caller. The call is applied a few steps
    /// later if its conditions still hold.
    late
};

constexpr store_fault all_store_faults[] = {
    store_fault::refuse, store_fault::lose, store_fault::drop_answer,
    store_fault::conflict_on_retry, store_fault::late};

class fake_store
{
public:
    versioned_store calls()
    {
        versioned_store to;
        to.commit = [this](
                        row_transaction one, std::chrono::milliseconds,
                        std::function<void(transaction_result)> done)
        {
            queue_.push_back(
                [this, one = std::move(one), done = std::move(done)]
                { done(commit_step(one)); });
        };
        to.read = [this](
                      row_range range, std::chrono::milliseconds,
                      std::function<void(range_result)> done)
        {
            queue_.push_back(
                [this, range = std::move(range), done = std::move(done)]
                { done(read_step(range)); });
        };
        return to;
    }

    /// Executes one queued call. \return false if the queue is empty.
    bool run_one()
    {
        if (queue_.empty())
            return false;
        auto const call = std::move(queue_.front());
        queue_.pop_front();
        call();
        return true;
    }

    void run()
    {
        while (run_one())
        {
        }
    }

    /// Drops the queued calls of clients that no longer exist.
    void drop_waiting() { queue_.clear(); }

    void fail_step(std::size_t step, store_fault fault)
    {
        faults_[step] = fault;
    }
    void set_down(bool down) { down_ = down; }
    /// Reads and changes of a partition that is down are refused.
    void set_partition_down(std::string const& partition, bool down)
    {
        if (down)
            partitions_down_.insert(partition);
        else
            partitions_down_.erase(partition);
    }
    /// Sets the store's own clock; until then its answers tell no time.
    void set_clock(clock_fn clock) { clock_ = std::move(clock); }

    std::size_t steps() const { return steps_; }
    std::size_t commits() const { return commits_; }
    std::size_t rows() const { return rows_.size(); }
    stored_row const* find(row_address const& at) const
    {
        auto const found = rows_.find(key_of(at));
        return found == rows_.end() ? nullptr : &found->second;
    }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;

    static row_key key_of(row_address const& at)
    {
        return {at.table, at.partition, at.key};
    }

    static std::string partition_of(row_transaction const& one)
    {
        if (!one.writes.empty())
            return one.writes.front().at.partition;
        return one.removals.empty() ? std::string()
                                    : one.removals.front().partition;
    }

    store_fault next_fault(std::string const& partition)
    {
        ++steps_;
        perform_late();
        if (down_ || partitions_down_.count(partition) > 0)
            return store_fault::refuse;
        auto const found = faults_.find(steps_);
        return found == faults_.end() ? store_fault::none : found->second;
    }

    bool holds(row_transaction const& one) const
    {
        return std::all_of(
            one.conditions.begin(), one.conditions.end(),
            [this](version_condition const& condition)
            {
                auto const* row = find(condition.at);
                return (row == nullptr ? 0 : row->version) == condition.version;
            });
    }

    void apply(row_transaction const& one)
    {
        ++version_;
        for (auto const& write : one.writes)
            rows_[key_of(write.at)] = {write.at, write.value, version_};
        for (auto const& at : one.removals)
            rows_.erase(key_of(at));
    }

    transaction_result conflict_of(row_transaction const& one) const
    {
        transaction_result to;
        to.outcome = store_outcome::conflict;
        for (auto const& condition : one.conditions)
        {
            if (auto const* row = find(condition.at))
                to.rows.push_back(*row);
        }
        return to;
    }

    transaction_result commit_step(row_transaction const& one)
    {
        ++commits_;
        auto const fault = next_fault(partition_of(one));
        transaction_result to;
        to.in_doubt =
            fault != store_fault::none && fault != store_fault::refuse;
        if (fault == store_fault::late)
            late_.emplace_back(steps_ + late_steps, one);
        if (fault == store_fault::refuse || fault == store_fault::lose ||
            fault == store_fault::late)
            return to;
        if (!holds(one))
            return conflict_of(one);
        apply(one);
        if (fault == store_fault::drop_answer)
            return to;
        if (fault == store_fault::conflict_on_retry && !one.conditions.empty())
        {
            to = conflict_of(one);
            to.in_doubt = true;
            return to;
        }
        to.outcome = store_outcome::done;
        to.version = version_;
        return to;
    }

    range_result read_step(row_range const& range)
    {
        range_result to;
        auto const fault = next_fault(range.partition);
        if (fault != store_fault::none)
        {
            to.failure = fault == store_fault::refuse
                             ? call_failure::refused
                             : call_failure::unanswered;
            return to;
        }
        to.outcome = store_outcome::done;
        to.version = version_;
        if (clock_)
        {
            to.store_time =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock_().time_since_epoch());
        }
        for (auto const& [key, row] : rows_)
        {
            auto const& at = row.at;
            if (at.table == range.table && at.partition == range.partition &&
                at.key >= range.from && (range.to.empty() || at.key < range.to))
                to.rows.push_back(row);
        }
        return to;
    }

    void perform_late()
    {
        while (!late_.empty() && late_.front().first <= steps_)
        {
            auto const one = std::move(late_.front().second);
            late_.pop_front();
            if (holds(one))
                apply(one);
        }
    }

    static constexpr std::size_t late_steps = 2;

    std::deque<std::function<void()>> queue_;
    std::map<row_key, stored_row> rows_;
    std::map<std::size_t, store_fault> faults_;
    std::deque<std::pair<std::size_t, row_transaction>> late_;
    std::uint64_t version_ = 0;
    std::size_t steps_ = 0;
    std::size_t commits_ = 0;
    bool down_ = false;
    std::set<std::string> partitions_down_;
    clock_fn clock_;
};

} // namespace testing
} // namespace walnutmill

#endif
