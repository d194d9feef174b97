#ifndef WALNUTMILL_SRC_ENTRY_CLUSTER_SECTION_HPP
#define WALNUTMILL_SRC_ENTRY_CLUSTER_SECTION_HPP

/// \file
/// Snapshots of the cluster's state tables and the encoding in which nodes
/// forward them to each other.
///
/// Load pattern: all nodes read the configuration, the engines and the members
/// several times within the time in which a change must take effect. If each of
/// 295 nodes read the store, the bytes would grow with nodes times rows. With
/// one reader per failure domain they grow with domains times rows, and an
/// unchanged table costs a follower a few bytes. A change feed of the store
/// would return every heartbeat of every engine.

#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include "entry/compression.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// An entry node as registered in the store.
struct entry_member
{
    std::string node;
    /// IP:PORT at which other nodes reach it.
    std::string address;
    std::string domain;
    /// Identifies this process among all processes the node has run.
    std::string incarnation;
    /// Capacity weight: processor share in cores. 0: not stated.
    double strength = 0;
};

/// The configuration's row in the store.
struct configuration_row
{
    std::uint64_t version = 0;
    std::string document;
};

std::string encode(configuration_row const& one);
std::string encode(std::vector<engine_entry> const& engines);
std::string encode(std::vector<entry_member> const& members);
/// \return empty if the bytes are malformed, as for every decode function
/// below.
std::optional<configuration_row> decode_configuration_row(std::string_view);
std::optional<std::vector<engine_entry>> decode_engine_list(std::string_view);
std::optional<std::vector<entry_member>> decode_member_list(std::string_view);

enum class cluster_table : std::size_t
{
    configuration,
    engines,
    members
};
constexpr std::size_t cluster_table_count = 3;

/// Snapshot of one table. Of two snapshots the one with the higher version is
/// the newer, whichever nodes read them.
struct cluster_section
{
    /// The store's version at which the table was read.
    std::uint64_t as_of = 0;
    /// The epoch if the table was never read.
    time_point read_at{};
    std::string bytes;
    /// Hash of the bytes.
    std::uint64_t digest = 0;
    /// When the newest read that confirms this snapshot began, on a clock that
    /// counts suspended time. The epoch: not known.
    time_point read_started_at{};

    bool known() const { return read_at != time_point{}; }
};

using cluster_sections = std::array<cluster_section, cluster_table_count>;

cluster_section
make_section(std::uint64_t as_of, time_point read_at, std::string bytes);

/// Requests the tables whose digests differ from these.
struct section_query
{
    std::array<std::uint64_t, cluster_table_count> digests{};
    /// Nodes of an earlier version do not read compressed tables.
    bool accepts_compressed = false;
};

/// Snapshot of one table as reported to another node.
struct peer_section
{
    std::uint64_t as_of = 0;
    /// Time since the table was read.
    std::chrono::milliseconds age{0};
    std::uint64_t digest = 0;
    /// The table, plain or compressed. Both empty: unchanged from the query's
    /// digest.
    std::optional<std::string> bytes;
    std::optional<compressed_bytes> compressed{};
    /// Time since the newest read began. Empty: not known.
    std::optional<std::chrono::milliseconds> read_start_age{};
};

using peer_sections = std::array<peer_section, cluster_table_count>;

std::string encode(section_query const& one);
std::string encode(peer_sections const& sections);
std::optional<section_query> decode_section_query(std::string_view);
std::optional<peer_sections> decode_peer_sections(std::string_view);

/// Returns a table of the answering node in its compressed form.
using compress_table_fn =
    std::function<compressed_bytes const&(cluster_table which)>;

/// \return the answer of a node that holds these sections. Empty until it has
/// read all tables.
/// \param boot_now on the clock of cluster_section::read_started_at
/// \param compressed null: all tables are sent plain
std::optional<peer_sections> answer_query(
    section_query const& query, cluster_sections const& known, time_point now,
    time_point boot_now = {}, compress_table_fn const& compressed = {});

} // namespace walnutmill

#endif
