#ifndef WALNUTMILL_SRC_BUDGET_LEDGER_HPP
#define WALNUTMILL_SRC_BUDGET_LEDGER_HPP

/// \file
/// The budget of a root program and its sub-agents.
///
/// Spend is different from release: work that a fenced owner started still
/// costs. So units are drawn from the budget in slices by committed records
/// before anything is sent, and each call reserves the most it can cost out
/// of the slice. After a crash nobody knows what became of the reservations,
/// so all that was drawn and not settled counts as spent (stranded). A larger
/// slice costs fewer records and strands more.

#include <algorithm>
#include <cstdint>

namespace walnutmill
{

/// Invariant: settled + stranded + reserved <= drawn <= budget.
class budget_ledger
{
public:
    budget_ledger() = default;
    explicit budget_ledger(std::uint64_t budget) : budget_(budget) {}

    std::uint64_t budget() const noexcept { return budget_; }
    std::uint64_t drawn() const noexcept { return drawn_; }
    std::uint64_t reserved() const noexcept { return reserved_; }
    /// Units that are gone: settled by outcomes or stranded by a crash.
    std::uint64_t spent() const noexcept { return settled_ + stranded_; }
    /// Units of the slice that a call may still reserve.
    std::uint64_t available() const noexcept
    {
        return drawn_ - settled_ - stranded_ - reserved_;
    }

    /// Units to draw so that `units` can be reserved; zero: none needed.
    std::uint64_t
    draw_for(std::uint64_t units, std::uint64_t slice) const noexcept
    {
        if (units <= available())
            return 0;
        auto const missing = units - available();
        return std::min(std::max(missing, slice), budget_ - drawn_);
    }
    /// Whether drawing all that is left would do for `units`.
    bool can_afford(std::uint64_t units) const noexcept
    {
        return units <= available() + (budget_ - drawn_);
    }

    /// A committed change; never below what is drawn.
    void set_budget(std::uint64_t units) noexcept
    {
        budget_ = std::max(units, drawn_);
    }
    /// A committed draw; what exceeds the budget is not drawn.
    void draw(std::uint64_t units) noexcept
    {
        drawn_ += std::min(units, budget_ - drawn_);
    }
    /// A committed return of unused units.
    void give_back(std::uint64_t units) noexcept
    {
        drawn_ -= std::min(units, available());
    }
    /// \return false when the slice does not hold as much.
    bool reserve(std::uint64_t units) noexcept
    {
        if (units > available())
            return false;
        reserved_ += units;
        return true;
    }
    /// Ends a reservation without cost: the call truly did not run.
    void cancel(std::uint64_t units) noexcept
    {
        reserved_ -= std::min(units, reserved_);
    }
    /// Books a call's cost out of the slice, after cancel() of its
    /// reservation. Costs are bounded by the reservation.
    void settle(std::uint64_t cost) noexcept
    {
        settled_ += std::min(cost, available());
    }
    /// All that is drawn and not settled counts as spent: a new owner cannot
    /// know what became of it.
    void strand() noexcept
    {
        reserved_ = 0;
        stranded_ = drawn_ - settled_;
    }

private:
    std::uint64_t budget_ = 0;
    std::uint64_t drawn_ = 0;
    std::uint64_t settled_ = 0;
    std::uint64_t stranded_ = 0;
    std::uint64_t reserved_ = 0;
};

} // namespace walnutmill

#endif
