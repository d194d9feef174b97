#ifndef WALNUTMILL_RESULT_HPP
#define WALNUTMILL_RESULT_HPP

/// \file
/// Typed errors: every refusal says whether the request ran and when to come
/// back.

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace walnutmill
{

/// Why a request was refused. The text form is the wire form.
enum class errc
{
    bad_request,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    too_large,
    overloaded,
    budget_exhausted,
    deadline_exceeded,
    program_ended,
    canceled,
    target_failed,
    unavailable,
    store_unavailable,
    outcome_unknown,
    internal
};

/// Whether the refused request had an effect at a target.
enum class certainty
{
    /// It did not run, and will not.
    not_run,
    /// It ran; the answer could not be delivered in full.
    ran,
    /// Nobody can tell; it will not be sent again.
    outcome_unknown
};

/// A refusal as it goes to the caller.
struct refusal
{
    errc code = errc::internal;
    certainty ran = certainty::not_run;
    std::string message;
    /// The offending field of the request, if one is to blame.
    std::string field;
    /// When to come back; zero: coming back does not help.
    std::chrono::milliseconds retry_after{0};
};

/// A value or the refusal that took its place. Reading the wrong side ends
/// the process rather than yielding garbage.
template<class T>
using result = boost::outcome_v2::basic_result<
    T, refusal, boost::outcome_v2::policy::terminate>;

/// \return "budget_exhausted" and the like.
std::string_view to_string(errc code);
/// \return "not_run", "ran" or "outcome_unknown".
std::string_view to_string(certainty ran);
/// \return the code of that text; errc::internal for an unknown one.
errc errc_from(std::string_view text);
/// \return the certainty of that text; outcome_unknown for an unknown one.
certainty certainty_from(std::string_view text);
/// \return the HTTP status that carries this code.
int http_status(errc code);

} // namespace walnutmill

#endif
