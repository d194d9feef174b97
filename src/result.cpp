#include <walnutmill/result.hpp>

#include <array>

namespace walnutmill
{
namespace
{

struct code_row
{
    errc code;
    std::string_view text;
    int status;
};

constexpr std::array<code_row, 16> code_table{{
    {errc::bad_request, "bad_request", 400},
    {errc::unauthorized, "unauthorized", 401},
    {errc::forbidden, "forbidden", 403},
    {errc::not_found, "not_found", 404},
    {errc::conflict, "conflict", 409},
    {errc::too_large, "too_large", 413},
    {errc::overloaded, "overloaded", 429},
    {errc::budget_exhausted, "budget_exhausted", 402},
    {errc::deadline_exceeded, "deadline_exceeded", 504},
    {errc::program_ended, "program_ended", 410},
    {errc::canceled, "canceled", 409},
    {errc::target_failed, "target_failed", 502},
    {errc::unavailable, "unavailable", 503},
    {errc::store_unavailable, "store_unavailable", 503},
    {errc::outcome_unknown, "outcome_unknown", 504},
    {errc::internal, "internal", 500},
}};

code_row const& find_row(errc code)
{
    for (auto const& row : code_table)
    {
        if (row.code == code)
            return row;
    }
    return code_table.back();
}

} // namespace

std::string_view to_string(errc code)
{
    return find_row(code).text;
}

int http_status(errc code)
{
    return find_row(code).status;
}

errc errc_from(std::string_view text)
{
    for (auto const& row : code_table)
    {
        if (row.text == text)
            return row.code;
    }
    return errc::internal;
}

std::string_view to_string(certainty ran)
{
    switch (ran)
    {
    case certainty::not_run:
        return "not_run";
    case certainty::ran:
        return "ran";
    case certainty::outcome_unknown:
        break;
    }
    return "outcome_unknown";
}

certainty certainty_from(std::string_view text)
{
    if (text == "not_run")
        return certainty::not_run;
    if (text == "ran")
        return certainty::ran;
    return certainty::outcome_unknown;
}

} // namespace walnutmill
