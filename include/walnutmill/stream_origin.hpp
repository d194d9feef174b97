#ifndef WALNUTMILL_STREAM_ORIGIN_HPP
#define WALNUTMILL_STREAM_ORIGIN_HPP

/// \file
/// Origins of streams: the service and the software version of the engine that
/// produced the first event. Output of two versions does not fit together and
/// engines do not check this, so a stream may resume only at its origin.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace walnutmill
{

struct stream_origin
{
    service_name service;
    /// Version of the engine's software; empty where it reports none.
    std::string version;

    friend bool operator==(stream_origin const& a, stream_origin const& b)
    {
        return a.service == b.service && a.version == b.version;
    }
    friend bool operator!=(stream_origin const& a, stream_origin const& b)
    {
        return !(a == b);
    }
};

/// Digest of a stream's id, so that ids of any length take the same space.
using stream_key = std::uint64_t;

/// \param id request id of the attempt that received the first event,
/// qualified by its workspace
stream_key stream_key_of(std::string_view id);

/// Time after its first event during which a stream may be resumed. The
/// longest call lasts 30 s; its caller may resume it once more after that.
constexpr std::chrono::seconds stream_lifetime{60};

struct stream_table_options
{
    duration lifetime = stream_lifetime;
    /// Maximum number of streams and renewals, twice those of a minute at 67
    /// streams and 200 copies a second. Beyond it the oldest are dropped, so
    /// that callers that begin streams without end cannot exhaust the memory.
    std::size_t max_streams = 32'768;
};

/// The origins of recent streams, in memory.
class stream_table
{
public:
    explicit stream_table(clock_fn clock, stream_table_options options = {});

    /// Adds a stream, or renews it for another lifetime.
    void put(stream_key stream, stream_origin origin);
    std::optional<stream_origin> find(stream_key stream) const;
    /// Visits the streams from the newest to the oldest.
    /// \param visit returns false to stop
    void for_each_newest(
        std::function<bool(stream_key, stream_origin const&)> const& visit)
        const;
    std::size_t size() const { return streams_.size(); }

private:
    struct entry
    {
        stream_origin origin;
        time_point put_at{};
        /// Number of the put.
        std::uint64_t number = 0;
    };
    struct position
    {
        stream_key stream = 0;
        time_point put_at{};
        std::uint64_t number = 0;
    };

    bool is_current(position const& at) const;
    void drop_expired(time_point now);

    clock_fn clock_;
    stream_table_options options_;
    std::unordered_map<stream_key, entry> streams_;
    /// Oldest first. A renewed stream has several positions, of which the last
    /// one counts.
    std::deque<position> order_;
    std::uint64_t puts_ = 0;
};

} // namespace walnutmill

#endif
