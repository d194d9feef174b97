#ifndef WALNUTMILL_SRC_CTL_HPP
#define WALNUTMILL_SRC_CTL_HPP

/// \file
/// What `walnutmill ctl` and `walnutmill explain` share: flags, the request
/// and how its answer is shown. The network is a hook.

#include <walnutmill/finding.hpp>

#include "blocking_http.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace walnutmill
{

constexpr int ctl_done = 0;
/// The node refused.
constexpr int ctl_refused = 1;
/// Wrong flags.
constexpr int ctl_usage = 2;
/// No node answered, or nobody can tell whether it ran.
constexpr int ctl_unknown = 3;

struct ctl_settings
{
    std::string url = "http://127.0.0.1:8080";
    std::string token;
    /// The statement, or for `explain` the program.
    std::string text;
    std::string command_id;
    bool json = false;
    bool dry_run = false;
    bool help = false;
};

struct parsed_ctl
{
    ctl_settings value;
    findings problems;
};

/// \param words what the positional arguments are called in findings
parsed_ctl parse_ctl(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment, std::string const& words);

std::string ctl_help(std::string const& usage);

/// Posts a body to /v1/operate.
using post_statement_fn =
    std::function<result<http_reply>(std::string const& body)>;

/// Sends the statement, again under the same command id while its answer is
/// lost. \return one of the exit codes above
int send_statement(
    ctl_settings const& settings, post_statement_fn const& post,
    std::ostream& out, std::ostream& err);

/// Sends it to the node of the settings; shows on the standard streams.
int send_to_node(ctl_settings const& settings);

} // namespace walnutmill

#endif
