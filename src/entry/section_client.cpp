#include "entry/section_client.hpp"

#include "entry/call_limits.hpp"
#include "entry/http_caller.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

constexpr std::string_view sections_path = "/cluster/sections";
constexpr int status_ok = 200;

} // namespace

section_client::section_client(
    exchange_runtime runtime, line_log& log, duration response_limit)
    : runtime_(std::move(runtime)), log_(log), response_limit_(response_limit)
{
}

void section_client::ask(
    std::string const& address, std::string_view query,
    answer_fn const& done) const
{
    runtime_.exchange(
        {address,
         cbor_bytes_request(sections_path, address, query),
         {response_limit_}},
        [this, done, address, asked_at = runtime_.clock()](exchange_reply reply)
        {
            if (reply.answered && reply.status == status_ok)
            {
                done(std::move(reply.body));
                return;
            }
            log_.write(
                log_priority::routine, "view.unanswered",
                {{"address", address},
                 {"status", reply.status},
                 {"ms", ms_count(runtime_.clock() - asked_at)},
                 {"abandoned_bytes", reply.body.size()}});
            done(std::nullopt);
        });
}

bool section_client::is_request(std::string_view target)
{
    return target == sections_path;
}

} // namespace walnutmill
