#ifndef WALNUTMILL_SRC_ENTRY_LOAD_SUMMARY_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_SUMMARY_HPP

/// \file
/// Adds up the calls that all nodes have at each engine, and how those ended
/// that failed there lately.
///
/// Load pattern: 13 to 390 nodes place calls on the same engines. An engine
/// tells its load in its answers, but with 80 nodes and 45 engines a node
/// hears of an engine once in five seconds, ten times as long as a call
/// lasts. Without the sum nodes can't tell a full fleet from an idle one, and
/// each estimates the demand for a shared prompt from its own few calls.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace walnutmill
{

/// Calls at engines, by the engines' short keys.
using engine_counts = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

/// How calls at an engine ended lately, in hundredths of a call.
struct outcome_count
{
    std::uint32_t engine = 0;
    std::uint32_t failed = 0;
    std::uint32_t answered = 0;
};

/// Recent calls for a shared prompt or for all of a service's, in hundredths.
struct demand_count
{
    std::uint32_t key = 0;
    std::uint32_t calls = 0;
};

/// What one node tells, or the sum over all.
struct load_report
{
    engine_counts calls;
    std::vector<outcome_count> outcomes;
    std::vector<demand_count> demand{};
    /// In a sum: nodes that reported a short time ago.
    std::uint32_t nodes = 0;
};

/// \return a key short enough for datagrams. Two engines of a few thousand
/// share one with a chance of one in a thousand, and then share their loads.
std::uint32_t short_key(target_name const& engine);

/// A node's calls, or the sum over all nodes, as sent between nodes.
struct load_message
{
    /// The sender asks for the sum; otherwise this is the sum.
    bool asks = false;
    std::string node;
    /// Numbers the sender's questions; the answer bears the same.
    std::uint64_t number = 0;
    load_report report;
};

std::string encode(load_message const& message);
/// Encodes a report once for many messages.
std::string encode(load_report const& report);
/// \param report an encoded report
std::string encode_message(
    bool asks, std::string_view node, std::uint64_t number,
    std::string_view report);
/// \return empty where the bytes are no such message.
std::optional<load_message> decode_load_message(std::string_view bytes);

/// How long an encoded sum is used.
constexpr std::chrono::milliseconds encoded_lasts{5};

class load_summary
{
public:
    /// How long a node's counts are used: calls last half a second.
    explicit load_summary(duration keeps = std::chrono::milliseconds(1'000));

    void set(std::string const& node, load_report report, time_point now);
    /// Outcomes are summed for engines at which calls failed, the others need
    /// no place in a datagram.
    load_report sum(time_point now);
    /// \return the encoded sum, up to \c encoded_lasts old: a sum over all
    /// nodes for each of them grows with the square of their number.
    std::string const& encoded_sum(time_point now);

private:
    struct node_report
    {
        time_point at;
        load_report report;
    };

    duration keeps_;
    std::unordered_map<std::string, node_report> nodes_;
    std::string encoded_;
    time_point encoded_at_{};
};

} // namespace walnutmill

#endif
