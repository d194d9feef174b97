#ifndef WALNUTMILL_LOGGING_HPP
#define WALNUTMILL_LOGGING_HPP

/// \file
/// Logs as JSON lines through Boost.Log.

#include <initializer_list>
#include <string>
#include <string_view>

namespace walnutmill
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

/// One further field of a log line, for example {"program", id}.
struct log_field
{
    std::string_view key;
    std::string value;
};

/// Sets up the sink on standard error; call once.
/// \param node name of this node, a field of every line
void init_logging(severity least, std::string_view node);

/// Writes one line with time, severity, component and node. Thread-safe.
void write_log(
    severity level, std::string_view component, std::string_view message,
    std::initializer_list<log_field> fields = {});

} // namespace walnutmill

#endif
