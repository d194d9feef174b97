#ifndef WALNUTMILL_SRC_ENTRY_CALL_STORY_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_STORY_HPP

/// \file
/// Tells what became of a call or a program from the log lines of nodes.

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace walnutmill
{

/// Collects log lines and picks those that concern one id.
class call_story
{
public:
    /// \param id of a request or of a program
    explicit call_story(std::string id);

    /// Reads the lines of one or more nodes; text before a line's JSON and
    /// lines that are none are passed over.
    void read(std::istream& lines);

    /// \return the story, a line each, in order of time; empty where no line
    /// bears the id.
    std::vector<std::string> tell() const;

private:
    struct event
    {
        std::int64_t time_ms = 0;
        nlohmann::json line;
    };

    bool concerns(nlohmann::json const& line) const;
    std::vector<event> related() const;

    std::string id_;
    std::vector<event> events_;
};

} // namespace walnutmill

#endif
