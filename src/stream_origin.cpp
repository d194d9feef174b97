#include <walnutmill/stream_origin.hpp>

#include "sha256.hpp"

#include <utility>

namespace walnutmill
{

stream_key stream_key_of(std::string_view id)
{
    // A caller must not be able to choose an id that collides with another
    // caller's, hence a cryptographic hash.
    constexpr std::size_t key_digits = 16;
    constexpr int hexadecimal = 16;
    return std::stoull(
        sha256_hex(id).substr(0, key_digits), nullptr, hexadecimal);
}

stream_table::stream_table(clock_fn clock, stream_table_options options)
    : clock_(std::move(clock)), options_(options)
{
}

bool stream_table::is_current(position const& at) const
{
    auto const found = streams_.find(at.stream);
    return found != streams_.end() && found->second.number == at.number;
}

void stream_table::drop_expired(time_point now)
{
    while (!order_.empty() &&
           (now - order_.front().put_at >= options_.lifetime ||
            order_.size() > options_.max_streams))
    {
        if (is_current(order_.front()))
            streams_.erase(order_.front().stream);
        order_.pop_front();
    }
}

void stream_table::put(stream_key stream, stream_origin origin)
{
    auto const now = clock_();
    ++puts_;
    streams_[stream] = {std::move(origin), now, puts_};
    order_.push_back({stream, now, puts_});
    drop_expired(now);
}

std::optional<stream_origin> stream_table::find(stream_key stream) const
{
    auto const found = streams_.find(stream);
    if (found == streams_.end() ||
        clock_() - found->second.put_at >= options_.lifetime)
        return std::nullopt;
    return found->second.origin;
}

void stream_table::for_each_newest(
    std::function<bool(stream_key, stream_origin const&)> const& visit) const
{
    auto const now = clock_();
    for (auto at = order_.rbegin(); at != order_.rend(); ++at)
    {
        if (now - at->put_at >= options_.lifetime)
            return;
        if (is_current(*at) &&
            !visit(at->stream, streams_.at(at->stream).origin))
            return;
    }
}

} // namespace walnutmill
