#ifndef WALNUTMILL_SRC_ENTRY_LOAD_SUMMARY_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_SUMMARY_HPP

/// \file
/// Sums the calls in flight of all nodes by engine, the recent outcomes at
/// engines where calls failed, and the demand for shared prompts.
///
/// Load pattern: 13 to 390 nodes place calls on the same engines. An engine
/// reports its load in its answers, but with 80 nodes and 45 engines a node
/// gets an answer from a given engine once in five seconds, ten times the
/// duration of a call. Without the sum nodes can't distinguish a full fleet
/// from an idle one, and each estimates the demand for a shared prompt from its
/// own few calls.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include "entry/speed_summary.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace walnutmill
{

/// Calls in flight at engines, as pairs of short key and count.
using engine_counts = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

/// Recent outcomes of calls at an engine, in hundredths of a call.
struct outcome_count
{
    std::uint32_t engine = 0;
    std::uint32_t failed = 0;
    std::uint32_t answered = 0;
};

/// Recent calls for one shared prompt or for all prompts of a service, in
/// hundredths of a call.
struct demand_count
{
    std::uint32_t key = 0;
    std::uint32_t calls = 0;
};

/// The load reported by one node, or the sum over all nodes.
struct load_report
{
    engine_counts calls;
    std::vector<outcome_count> outcomes;
    std::vector<demand_count> demand{};
    /// In a sum, the number of nodes that reported within the last 500 ms.
    std::uint32_t nodes = 0;
    /// Empty where no engine reports how long work takes on its machine.
    speed_report speeds{};
};

/// \return a 32-bit hash of the engine's name, short enough for datagrams.
/// Among a few thousand engines two have the same key with a probability of one
/// in a thousand; their loads are then added together.
std::uint32_t short_key(target_name const& engine);

/// A load report or the sum over all nodes, as sent between nodes.
struct load_message
{
    /// True in a report to the load aggregator, false in its answer with the
    /// sum.
    bool is_report = false;
    std::string node;
    /// Request number chosen by the sender and repeated in the answer.
    std::uint64_t number = 0;
    load_report report;
};

std::string encode(load_message const& message);
/// Encodes a report without its speeds, so that several messages can share it.
std::string encode(load_report const& report);
/// Encodes a message that contains an encoded report and encoded speeds.
std::string encode_message(
    bool is_report, std::string_view node, std::uint64_t number,
    std::string_view report, speed_elements const& speeds = {});
/// Further elements, and speeds that are malformed, are ignored.
/// \return empty if the bytes are not a load message.
std::optional<load_message> decode_load_message(std::string_view bytes);

/// Time for which an encoded sum is reused.
constexpr std::chrono::milliseconds encoded_sum_lifetime{5};

/// Keeps the latest report of each node and sums them.
class load_summary
{
public:
    /// \param retention time after which a node's report expires; calls last
    /// half a second
    explicit load_summary(
        duration retention = std::chrono::milliseconds(1'000));

    /// Replaces the node's previous report but for its speeds, which are added
    /// to those reported before.
    void set(std::string const& node, load_report report, time_point now);
    /// \return the sum of the reports that have not expired. It contains
    /// outcomes only of engines where calls failed, which saves space in
    /// datagrams.
    load_report sum(time_point now);
    /// \return the encoded sum, cached for \c encoded_sum_lifetime: computing
    /// the sum over all nodes for each of them is quadratic in their number.
    std::string const& encoded_sum(time_point now);

    /// Machine figures and speeds of the reports passed to set(). They are not
    /// part of the sums above, which are the same for all nodes.
    speed_summary speeds;

private:
    struct node_report
    {
        time_point at;
        load_report report;
    };

    duration retention_;
    std::unordered_map<std::string, node_report> nodes_;
    std::string encoded_;
    time_point encoded_at_{};
};

} // namespace walnutmill

#endif
