#ifndef WALNUTMILL_WEIGHT_SLOTS_HPP
#define WALNUTMILL_WEIGHT_SLOTS_HPP

/// \file
/// The weight store's rate limit over all nodes: a fixed number of slots, one
/// row of the table each. A steward that loads weights holds one.

#include <walnutmill/ids.hpp>
#include <walnutmill/platform.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

constexpr std::string_view weight_slot_prefix = "weights/";

/// Who holds a slot, and for which load.
struct weight_slot_holder
{
    session_id session;
    epoch_number epoch = 0;
    target_name target;
};

/// What to commit to take or give back a slot.
struct weight_slot_change
{
    condition expected;
    row_write write;
};

/// Whether the session is known to be fenced: only then can its commits no
/// longer take effect. A holder that is merely silent keeps its slot.
using session_fenced_fn = std::function<bool(session_id const&)>;

/// \param slots how many loads may run at a time
/// \param rows all rows with weight_slot_prefix, as read
/// \return the change that gives `self` a slot, without a write when it has
/// one already; nullopt when all slots are taken
std::optional<weight_slot_change> plan_slot_take(
    std::uint32_t slots, std::vector<row> const& rows,
    weight_slot_holder const& self, session_fenced_fn const& fenced);

/// \return the change that gives the slot back; nullopt when `self` has none
std::optional<weight_slot_change>
plan_slot_give(std::vector<row> const& rows, weight_slot_holder const& self);

} // namespace walnutmill

#endif
