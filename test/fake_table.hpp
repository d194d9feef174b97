#ifndef WALNUTMILL_TEST_FAKE_TABLE_HPP
#define WALNUTMILL_TEST_FAKE_TABLE_HPP

/// \file
/// The platform's table and object store in memory, with faults at chosen
/// steps. Thread-safe.

#include <walnutmill/platform.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

/// What goes wrong with one request.
enum class table_fault
{
    /// The effect takes place, the answer is lost.
    drop_answer,
    /// The request is lost before its effect; the asker cannot tell.
    lose_request,
    /// The service declines to try, and says so.
    refuse
};

/// Every commit, read, scan, put, get and erase is one step, counted from
/// one.
class fake_table
{
public:
    /// Breaks the step with this number.
    void fail_step(std::size_t step, table_fault fault)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        faults_[step] = fault;
    }
    /// Breaks the next step.
    void fail_next(table_fault fault) { fail_step(steps() + 1, fault); }
    /// Mends the steps that are still to break.
    void clear_faults()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        faults_.clear();
    }
    /// While down, every step is refused.
    void set_down(bool down)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        table_down_ = down;
    }
    void set_objects_down(bool down)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        objects_down_ = down;
    }
    std::size_t steps() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return steps_;
    }
    /// \return transactions that took effect.
    std::size_t commits() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return commits_;
    }
    std::map<std::string, std::string> rows() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return rows_;
    }
    std::map<std::string, std::string> objects() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return objects_;
    }
    void set_row(std::string const& key, std::string value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        rows_[key] = std::move(value);
    }

    /// \return hooks onto this table, which must outlive them.
    table_service table()
    {
        table_service made;
        made.commit = [this](transaction const& t) { return commit(t); };
        made.read = [this](std::vector<std::string> const& keys)
        { return read(keys); };
        made.scan = [this](
                        std::string_view prefix, std::string_view after,
                        std::size_t limit)
        { return scan(prefix, after, limit); };
        return made;
    }
    /// \return hooks onto these objects, which must outlive them.
    object_store store()
    {
        object_store made;
        made.put = [this](std::string_view key, std::string_view value)
        { return put(key, value); };
        made.get = [this](std::string_view key) { return get(key); };
        made.erase = [this](std::string_view key) { return erase(key); };
        return made;
    }

private:
    /// What a step meets; `broken` of a read is the same for all faults.
    struct step_fate
    {
        bool before_effect = false;
        bool after_effect = false;
        bool told = false;
        bool broken() const { return before_effect || after_effect; }
    };

    step_fate next_step(bool down)
    {
        auto const at = faults_.find(++steps_);
        if (down)
            return {true, false, true};
        if (at == faults_.end())
            return {};
        if (at->second == table_fault::drop_answer)
            return {false, true, false};
        return {true, false, at->second == table_fault::refuse};
    }

    static refusal store_error()
    {
        refusal error;
        error.code = errc::store_unavailable;
        error.message = "fault injected";
        return error;
    }

    std::vector<std::string> failed_conditions(transaction const& t) const
    {
        std::vector<std::string> failed;
        for (auto const& one : t.conditions)
        {
            auto const at = rows_.find(one.key);
            bool const holds =
                one.equals ? at != rows_.end() && at->second == *one.equals
                           : at == rows_.end();
            if (!holds)
                failed.push_back(one.key);
        }
        return failed;
    }

    void apply(transaction const& t)
    {
        for (auto const& one : t.writes)
        {
            if (one.value)
                rows_[one.key] = *one.value;
            else
                rows_.erase(one.key);
        }
        ++commits_;
    }

    commit_result commit(transaction const& t)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const fate = next_step(table_down_);
        if (fate.before_effect)
            return {
                fate.told ? commit_status::not_sent : commit_status::in_doubt,
                {}};
        auto failed = failed_conditions(t);
        if (failed.empty())
            apply(t);
        if (fate.after_effect)
            return {commit_status::in_doubt, {}};
        if (!failed.empty())
            return {commit_status::refused, std::move(failed)};
        return {commit_status::committed, {}};
    }

    result<std::vector<row>> read(std::vector<std::string> const& keys)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (next_step(table_down_).broken())
            return store_error();
        std::vector<row> found;
        for (auto const& key : keys)
        {
            auto const at = rows_.find(key);
            if (at != rows_.end())
                found.push_back({at->first, at->second});
        }
        return found;
    }

    result<scan_page>
    scan(std::string_view prefix, std::string_view after, std::size_t limit)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (next_step(table_down_).broken())
            return store_error();
        scan_page page;
        auto at = after < prefix ? rows_.lower_bound(std::string(prefix))
                                 : rows_.upper_bound(std::string(after));
        for (; at != rows_.end() && at->first.rfind(prefix, 0) == 0; ++at)
        {
            if (page.rows.size() == limit)
            {
                page.more = true;
                break;
            }
            page.rows.push_back({at->first, at->second});
        }
        return page;
    }

    result<void> put(std::string_view key, std::string_view value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const fate = next_step(objects_down_);
        if (!fate.before_effect)
            objects_[std::string(key)] = std::string(value);
        if (fate.broken())
            return store_error();
        return boost::outcome_v2::success();
    }

    result<std::string> get(std::string_view key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (next_step(objects_down_).broken())
            return store_error();
        auto const at = objects_.find(std::string(key));
        if (at != objects_.end())
            return at->second;
        refusal error;
        error.code = errc::not_found;
        return error;
    }

    result<void> erase(std::string_view key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const fate = next_step(objects_down_);
        if (!fate.before_effect)
            objects_.erase(std::string(key));
        if (fate.broken())
            return store_error();
        return boost::outcome_v2::success();
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::string> rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::size_t, table_fault> faults_;
    std::size_t steps_ = 0;
    std::size_t commits_ = 0;
    bool table_down_ = false;
    bool objects_down_ = false;
};

} // namespace testing
} // namespace walnutmill

#endif
