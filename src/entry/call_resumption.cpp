/// \file
/// The part of class call_flow that keeps a stream at the software version at
/// which it began: within one answer, and over the attempts of a caller.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

constexpr int status_unavailable = 503;

} // namespace

bool call_flow::resumes_stream() const
{
    return route_->streams && route_->resumable &&
           (call_.resume_after || !call_.resumes.empty());
}

void call_flow::begin_or_resume()
{
    if (done_ || !check_crashes(&call_flow::begin_or_resume))
        return;
    if (node_.origins == nullptr || !resumes_stream())
    {
        need_.begins_resumable_stream = route_->streams && route_->resumable;
        admit();
    }
    else if (route_->keeps_turns)
    {
        // The turn could only be stored without the events of its beginning.
        refuse_resumption("a stored turn can't be resumed", "stored turn");
    }
    else
        find_origin();
}

/// Looks for the origin on this node, and then on others and in the store at
/// the same time.
void call_flow::find_origin()
{
    waits_for_ = "origin";
    if (call_.resumes.empty())
    {
        origin_searches_ = 1;
        find_origin_in_register();
        return;
    }
    auto const stream = stream_key_of(call_.resumes.str());
    if (auto const origin = node_.origins->find_local(stream))
    {
        resume_at(*origin, "this node");
        return;
    }
    origin_searches_ = 2;
    node_.origins->find(
        stream,
        [self = shared_from_this()](std::optional<stream_origin> const& origin)
        {
            if (origin)
                self->resume_at(*origin, "another node");
            else
                self->origin_not_found();
        });
    find_origin_in_register();
}

void call_flow::find_origin_in_register()
{
    // A stream of several services may have begun at any of them. So may one
    // whose route has changed, if this node does not know of the change.
    if (route_->shares.size() > 1 || !is_configuration_in_force())
    {
        origin_not_found();
        return;
    }
    auto const& service = route_->shares.front().service;
    node_.versions->find_only_version(
        service,
        [self = shared_from_this(),
         service](std::optional<std::string> const& version)
        {
            if (version)
                self->resume_at({service, *version}, "register");
            else
                self->origin_not_found();
        });
}

void call_flow::origin_not_found()
{
    if (--origin_searches_ == 0 && !done_ && !has_origin_)
    {
        refuse_resumption(
            "it is not known which engine version began the stream", "unknown");
    }
}

void call_flow::resume_at(stream_origin const& origin, std::string_view source)
{
    if (done_ || has_origin_)
        return;
    has_origin_ = true;
    log_fields_["origin_source"] = source;
    log_fields_["origin_version"] = origin.version;
    auto const is_routed = std::any_of(
        route_->shares.begin(), route_->shares.end(),
        [&origin](route_share const& one)
        { return one.service == origin.service; });
    if (!is_routed || table_->find_service(origin.service) == nullptr)
    {
        refuse_resumption(
            "the route no longer leads to the service that began the stream",
            "other service");
        return;
    }
    if (!node_.balancer.has_ready_engine(origin.service, origin.version))
    {
        refuse_resumption(
            "no engine of the version that began the stream is left",
            "no engine");
        return;
    }
    use_service(origin.service);
    need_.version = origin.version;
    node_.counters.count(
        "walnutmill_streams_resumed_total{origin=\"" + std::string(source) +
        "\"}");
    admit();
}

/// Refuses without a time to retry after: the caller has to begin anew.
void call_flow::refuse_resumption(
    std::string_view why, std::string_view outcome)
{
    return_quota();
    node_.counters.count(
        "walnutmill_resumptions_refused_total{why=\"" + std::string(outcome) +
        "\"}");
    respond_locally(status_unavailable, why);
}

/// Records where the stream began before its first event is forwarded. From
/// then on it stays at this version.
void call_flow::record_origin(attempt_ptr const& attempt)
{
    if (forwards_events_)
        return;
    forwards_events_ = true;
    need_.version = attempt->at.version;
    need_.begins_resumable_stream = false;
    if (node_.origins == nullptr || !route_->resumable)
        return;
    stream_origin const origin{need_.service, attempt->at.version};
    auto const needs_copies =
        route_->shares.size() > 1 ||
        node_.versions->has_several(need_.service) ||
        (node_.store_outage_time && node_.store_outage_time().count() > 0);
    auto const record = [&](request_id const& id)
    {
        auto const stream = stream_key_of(id.str());
        node_.origins->record(stream, origin);
        if (needs_copies)
            node_.origins->copy(stream, origin);
    };
    record(stored_turn_id_);
    if (!call_.resumes.empty())
        record(call_.resumes);
}

} // namespace walnutmill
