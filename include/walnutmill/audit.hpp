#ifndef WALNUTMILL_AUDIT_HPP
#define WALNUTMILL_AUDIT_HPP

/// \file
/// The audit trail: durable entries for changes and orders, and a bounded ring
/// of scheduling decisions that `explain` reads.

#include <walnutmill/ids.hpp>
#include <walnutmill/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// Wall-clock time for people to read. Nothing is ever decided by it.
using wall_time = std::chrono::time_point<
    std::chrono::system_clock, std::chrono::milliseconds>;

/// \return for example "2026-12-02T20:31:05.120Z".
std::string to_text(wall_time at);

enum class audit_result
{
    accepted,
    refused
};

/// What an entry is about.
enum class audit_subject
{
    /// The configuration document.
    configuration,
    /// An order to one target.
    order,
    /// One program, for example its end by an operator.
    program
};

/// A change or order, accepted or refused.
struct audit_entry
{
    /// The operator's command id, or the order's; a repeat has the same.
    std::string id;
    wall_time at{};
    audit_subject subject = audit_subject::configuration;
    /// Principal of the token, or "steward:<node>" for an order.
    std::string who;
    workspace_name workspace;
    /// What was asked, in the operators' language.
    std::string what;
    /// The reason that the operator gave.
    std::string reason;
    /// Configuration version before and after; equal when nothing changed.
    std::uint64_t version_before = 0;
    std::uint64_t version_after = 0;
    audit_result result = audit_result::accepted;
    /// What became of it, or why it was refused.
    std::string detail;
};

/// \return the entry as one line of JSON without a line break.
std::string to_json_line(audit_entry const& entry);
/// \return the entry, or errc::internal where the line is not one.
result<audit_entry> audit_entry_from(std::string_view json_line);

/// Prefix of the table's rows of the audit trail.
constexpr std::string_view audit_prefix = "audit/";

/// \return the key of the entry's row: ordered by version_after, then id, so
/// that "changes since" is one scan; a repeat yields the same key.
std::string audit_key(audit_entry const& entry);
/// \return where to start a scan for entries after a version.
std::string audit_scan_start(std::uint64_t version);

enum class decision_kind
{
    admitted,
    waited,
    placed,
    moved,
    retried,
    refused
};

/// \return "waited" and the like.
std::string_view to_string(decision_kind kind);

/// One scheduling decision about a program, with its reason.
struct decision_entry
{
    wall_time at{};
    node_name node;
    program_id program;
    /// Number of the call; zero for a decision about the program itself.
    std::uint32_t call = 0;
    request_id request;
    decision_kind kind = decision_kind::waited;
    target_name target;
    std::string reason;
};

/// \return the entry as one line of JSON without a line break.
std::string to_json_line(decision_entry const& entry);
/// \return the entry, or errc::internal where the line is not one.
result<decision_entry> decision_entry_from(std::string_view json_line);

/// The latest decisions of one node; the oldest give way. Thread-safe.
class decision_log
{
public:
    explicit decision_log(std::size_t capacity);
    ~decision_log();
    decision_log(decision_log const&) = delete;
    decision_log& operator=(decision_log const&) = delete;

    void add(decision_entry entry);
    /// \return the decisions about a program, oldest first.
    std::vector<decision_entry> of(program_id const& program) const;
    /// \return how many entries gave way since the start.
    std::uint64_t dropped() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif
