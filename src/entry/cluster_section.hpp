#ifndef WALNUTMILL_SRC_ENTRY_CLUSTER_SECTION_HPP
#define WALNUTMILL_SRC_ENTRY_CLUSTER_SECTION_HPP

/// \file
/// The tables of the cluster's state as one node read them, in the form in
/// which it passes them on to other nodes.
///
/// Load pattern: all nodes need the configuration, the engines and the members
/// a few times within the bounds of a change. Read by each of 295 nodes the
/// bytes grow with nodes times rows; read by one node of a failure domain they
/// grow with domains times rows, and unchanged tables cost the others a few
/// bytes. A feed of the store returns each heartbeat of each engine.

#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// Another entry node, as it registered itself.
struct entry_member
{
    std::string node;
    /// IP:PORT for other nodes.
    std::string address;
    std::string domain;
    /// Names this process among all that the node ever had.
    std::string incarnation;
    /// Processor share in cores; 0: not stated.
    double strength = 0;
};

/// The configuration's row.
struct configuration_row
{
    std::uint64_t version = 0;
    std::string document;
};

std::string encode(configuration_row const& one);
std::string encode(std::vector<engine_entry> const& engines);
std::string encode(std::vector<entry_member> const& members);
/// \return empty where the bytes have another form; the same holds below.
std::optional<configuration_row> decode_configuration_row(std::string_view);
std::optional<std::vector<engine_entry>> decode_engine_list(std::string_view);
std::optional<std::vector<entry_member>> decode_member_list(std::string_view);

enum class cluster_table : std::size_t
{
    configuration,
    engines,
    members
};
constexpr std::size_t cluster_tables = 3;

/// A table at one moment. Of two readings the one with the higher version is
/// the newer, whichever nodes read them.
struct cluster_section
{
    /// The store's version that the table was read at.
    std::uint64_t as_of = 0;
    /// The epoch: never read.
    time_point read_at{};
    std::string bytes;
    /// Hash of the bytes.
    std::uint64_t digest = 0;
    /// When the newest reading that holds began, by a clock that counts the
    /// time in which the machine was suspended; the epoch: not known.
    time_point whole_at{};

    bool known() const { return read_at != time_point{}; }
};

using cluster_sections = std::array<cluster_section, cluster_tables>;

cluster_section
make_section(std::uint64_t as_of, time_point read_at, std::string bytes);

/// Asks for the tables that differ from the digests.
struct section_query
{
    std::array<std::uint64_t, cluster_tables> digests{};
};

/// A table as told to another node.
struct told_section
{
    std::uint64_t as_of = 0;
    /// Time since it was read.
    std::chrono::milliseconds age{0};
    std::uint64_t digest = 0;
    /// Empty: as the query's digest says.
    std::optional<std::string> bytes;
    /// Time since the newest reading began; empty: not known.
    std::optional<std::chrono::milliseconds> whole_age{};
};

using told_sections = std::array<told_section, cluster_tables>;

std::string encode(section_query const& one);
std::string encode(told_sections const& sections);
std::optional<section_query> decode_section_query(std::string_view);
std::optional<told_sections> decode_told_sections(std::string_view);

/// \return what a node with these sections answers; empty while it has not
/// read all tables.
/// \param boot_now by the clock of cluster_section::whole_at
std::optional<told_sections> answer_query(
    section_query const& query, cluster_sections const& known, time_point now,
    time_point boot_now = {});

} // namespace walnutmill

#endif
