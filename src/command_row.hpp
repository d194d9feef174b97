#ifndef WALNUTMILL_SRC_COMMAND_ROW_HPP
#define WALNUTMILL_SRC_COMMAND_ROW_HPP

/// \file
/// The table's row of one command: what was asked and what became of it.

#include <walnutmill/operate.hpp>

namespace walnutmill
{

struct command_row
{
    std::string id;
    std::string who;
    workspace_name workspace;
    /// The statement; a long one is cut short.
    std::string text;
    /// stable_hash of the whole statement.
    std::uint64_t text_hash = 0;
    command_state state = command_state::pending;
    /// Version that the command made.
    std::uint64_t version = 0;
    /// What changed.
    std::string detail;
    /// Set when refused.
    errc code = errc::internal;
    /// Targets that the command waits for, with the state each has to reach.
    std::vector<target_name> targets;
    std::string target_state;
};

std::string command_key(std::string const& id);
std::string encode_command(command_row const& row);
/// \return errc::internal for a row that is not one.
result<command_row> decode_command(std::string_view text);

} // namespace walnutmill

#endif
