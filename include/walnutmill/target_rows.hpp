#ifndef WALNUTMILL_TARGET_ROWS_HPP
#define WALNUTMILL_TARGET_ROWS_HPP

/// \file
/// The table's rows of targets: the steward's report and its last order's
/// intent, as JSON text.

#include <walnutmill/target_steward.hpp>

#include <string>
#include <string_view>

namespace walnutmill
{

constexpr std::string_view target_row_prefix = "target/";
constexpr std::string_view order_row_prefix = "order/";

/// "target/<name>"
std::string target_row_key(target_name const& target);
/// "order/<target>": one row per target, so that orders do not pile up; the
/// audit trail keeps them all.
std::string order_row_key(target_name const& target);

std::string encode_report(target_report const& report);
std::string encode_order(target_order const& order);
/// \return the value, or errc::internal for a row that is not one.
result<target_report> decode_report(std::string_view text);
result<target_order> decode_order(std::string_view text);

/// \return the body of POST /v1/orders (docs/PLATFORM.md).
std::string order_request_body(target_order const& order);

/// \return what GET /v1/state answered, reachable and with its calls that run
/// but not those that wait; errc::target_failed where it is not that.
result<observed_target> observed_from_state(std::string_view json_text);

} // namespace walnutmill

#endif
