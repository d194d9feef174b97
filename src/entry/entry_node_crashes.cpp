/// \file
/// Connects the calls of an entry node to the requests under which engines
/// ended, and lets operators list and release these.

#include "entry/entry_node.hpp"

#include "entry/call_limits.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr std::string_view suspects_path = "/suspects";
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

std::string_view name_of(run_decision what)
{
    switch (what)
    {
    case run_decision::engine_went_on:
        return "engine went on";
    case run_decision::engine_ended:
        return "engine ended";
    case run_decision::silent_too_long:
        return "silent";
    case run_decision::unknown:
        break;
    }
    return "unknown";
}

std::string_view name_of(run_state state)
{
    switch (state)
    {
    case run_state::running:
        return "running";
    case run_state::ended:
        return "ended";
    case run_state::survived:
        break;
    }
    return "survived";
}

json label_fields(request_digest digest, request_label const& label)
{
    return {
        {"digest", to_text(digest)},
        {"workspace", label.workspace},
        {"program", label.program},
        {"route", label.route},
        {"request", label.request}};
}

/// \return empty if the text is no digest
std::optional<request_digest> digest_from(std::string_view text)
{
    constexpr int base = 16;
    request_digest digest = 0;
    auto const* const end = text.data() + text.size();
    auto const [at, error] = std::from_chars(text.data(), end, digest, base);
    if (error != std::errc() || at != end)
        return std::nullopt;
    return digest;
}

} // namespace

crash_exchange::hooks entry_node::crash_hooks()
{
    crash_exchange::hooks to;
    to.send = [this](std::string const& address, std::string const& bytes)
    { loads_.send_other_datagram(address, bytes); };
    to.schedule_after = [this](duration after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
    to.on_quarantined =
        [this](request_digest digest, suspect_request const& one)
    {
        counters_.count("walnutmill_requests_quarantined_total");
        auto fields = label_fields(digest, one.label);
        auto engines = json::array();
        for (auto const& run : one.runs)
        {
            if (run.state == run_state::ended)
                engines.push_back(run.engine);
        }
        fields["engines"] = std::move(engines);
        fields["for_ms"] = ms_count(crashes_.record().quarantined_for(digest));
        log_.write(log_priority::important, "request.quarantined", fields);
    };
    to.on_decided = [this](request_run const& run, run_decision what)
    { given_up_run_decided(run, what); };
    return to;
}

void entry_node::given_up_run_decided(request_run const& run, run_decision what)
{
    auto const name = std::string(name_of(what));
    counters_.count("walnutmill_given_up_runs_total{outcome=\"" + name + "\"}");
    if (what != run_decision::engine_ended &&
        what != run_decision::silent_too_long)
        return;
    counters_.count(
        "walnutmill_request_crashes_total{evidence=\"" + name + "\"}");
    auto fields = label_fields(run.request, run.label);
    fields["engine"] = run.engine.id.str();
    if (run.engine.incarnation)
        fields["started_at_ms"] = run.engine.incarnation->started_at_ms;
    fields["evidence"] = name;
    fields["crashes"] = crashes_.record().crashes(run.request);
    fields["ms"] = ms_count(clock_() - run.began);
    log_.write(log_priority::important, "request.crash", fields);
}

void entry_node::connect_crashes()
{
    services_.crashes = &crashes_;
}

/// Reports engines that lost their entry without having said that they leave.
void entry_node::report_ended_engines(std::vector<engine_entry> const& engines)
{
    if (!engines_)
        return;
    std::map<target_name, engine_incarnation> present;
    for (auto const& one : engines)
        present[one.id] = one.incarnation;
    for (auto const& one : *engines_)
    {
        auto const found = present.find(one.id);
        auto const is_present =
            found != present.end() && found->second == one.incarnation;
        if (!is_present && one.state != engine_state::draining)
            crashes_.engine_ended({one.id, one.incarnation});
    }
}

void entry_node::gauge_crashes()
{
    counters_.gauge(
        "walnutmill_requests_suspect",
        static_cast<double>(crashes_.record().size()));
    counters_.gauge(
        "walnutmill_requests_quarantined",
        static_cast<double>(crashes_.record().quarantined()));
    counters_.gauge(
        "walnutmill_crash_records_known", crashes_.may_lack_records() ? 0 : 1);
}

std::string entry_node::suspects_text() const
{
    auto const now = clock_();
    auto all = json::array();
    crashes_.record().for_each(
        [&](request_digest digest, suspect_request const& one)
        {
            auto fields = label_fields(digest, one.label);
            fields["crashes"] = crashes_.record().crashes(digest);
            fields["quarantined_for_ms"] =
                ms_count(crashes_.record().quarantined_for(digest));
            auto is_suspect = false;
            for (auto const& run : one.runs)
            {
                is_suspect |= run.state != run_state::survived;
                fields["runs"].push_back(
                    {{"engine", run.engine},
                     {"state", name_of(run.state)},
                     {"ended_ms_ago", ms_count(now - run.ended)}});
            }
            if (is_suspect)
                all.push_back(std::move(fields));
        });
    // Ids of callers may hold bytes that are not UTF-8.
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

/// Serves metrics, the list of suspect requests, and the release of one.
void entry_node::answer_operator(
    link_ptr const& link, request_type const& request)
{
    std::string_view const target(
        request.target().data(), request.target().size());
    if (target.substr(0, suspects_path.size()) != suspects_path)
    {
        answer_metrics(link);
        return;
    }
    platform::local_answer answer;
    answer.status = status_ok;
    if (request.method() == boost::beast::http::verb::delete_)
    {
        auto const digest = digest_from(
            target.substr(std::min(suspects_path.size() + 1, target.size())));
        auto const released = digest && crashes_.release(*digest);
        if (released)
        {
            log_.write(
                log_priority::important, "request.released",
                {{"digest", to_text(*digest)}});
        }
        answer.status = released ? status_ok : status_not_found;
        answer.message = released ? "released" : "no such suspect request";
    }
    else
        answer.message = suspects_text();
    link->write(platform::encode_local_answer(answer, link->begin_answer()));
    link->finish_answer();
}

} // namespace walnutmill
