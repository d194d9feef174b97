#ifndef WALNUTMILL_IDS_HPP
#define WALNUTMILL_IDS_HPP

/// \file
/// Identifiers as distinct types, so that a program's name is never passed
/// where a target's is expected.

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace walnutmill
{

/// A string identifier of one kind. An empty one means "none".
template<class Tag>
class basic_id
{
public:
    basic_id() = default;
    explicit basic_id(std::string value) : value_(std::move(value)) {}

    std::string const& str() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(basic_id const& a, basic_id const& b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(basic_id const& a, basic_id const& b)
    {
        return !(a == b);
    }
    friend bool operator<(basic_id const& a, basic_id const& b)
    {
        return a.value_ < b.value_;
    }
    friend std::ostream& operator<<(std::ostream& out, basic_id const& id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

/// One agent program or sub-agent.
using program_id = basic_id<struct program_tag>;
/// A caller's own id of a call; the idempotency key of the whole path.
using request_id = basic_id<struct request_tag>;
/// One incarnation of an entry node: "<node>.<incarnation>".
using session_id = basic_id<struct session_tag>;
/// An entry node's name; lives on over restarts.
using node_name = basic_id<struct node_tag>;
/// A model engine or a plain service instance.
using target_name = basic_id<struct target_tag>;
/// A service that programs use, for example findaid-llm.
using service_name = basic_id<struct service_tag>;
/// A tenant: an archive or a branch with its own rights and weight.
using workspace_name = basic_id<struct workspace_tag>;
/// A failure domain, for example bern-hall.
using zone_name = basic_id<struct zone_tag>;

/// Number of a shard; see shard_of().
using shard_number = std::uint32_t;
/// Ownership epoch of a shard, or the fencing number of a steward.
using epoch_number = std::uint64_t;

} // namespace walnutmill

template<class Tag>
struct std::hash<walnutmill::basic_id<Tag>>
{
    std::size_t operator()(walnutmill::basic_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif
