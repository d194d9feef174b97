#include "entry/event_stream.hpp"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// \return the position after the blank line that ends the first event; npos
/// if there is none.
std::size_t end_of_event(std::string_view text)
{
    auto const lf = text.find("\n\n");
    auto const crlf = text.find("\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    return crlf < lf ? crlf + 3 : lf + 2;
}

/// \return the value of a line "name: value"; empty if the name differs.
std::optional<std::string_view>
field_value(std::string_view line, std::string_view name)
{
    if (line.substr(0, name.size()) != name ||
        line.substr(name.size(), 1) != ":")
        return std::nullopt;
    auto value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

void parse_line(server_sent_event& to, std::string_view line, bool& has_data)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (auto const id = field_value(line, "id"))
    {
        std::uint64_t number = 0;
        if (boost::conversion::try_lexical_convert(
                id->data(), id->size(), number))
            to.id = number;
    }
    else if (auto const data = field_value(line, "data"))
    {
        if (has_data)
            to.data.push_back('\n');
        to.data.append(*data);
        has_data = true;
    }
}

server_sent_event parse_event(std::string_view text)
{
    server_sent_event to;
    to.text = std::string(text);
    bool has_data = false;
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size() - 1);
        parse_line(to, text.substr(0, end), has_data);
        text.remove_prefix(end + 1);
    }
    return to;
}

} // namespace

std::vector<server_sent_event> event_splitter::feed(std::string_view bytes)
{
    buffer_.append(bytes);
    std::vector<server_sent_event> events;
    std::string_view unparsed = buffer_;
    for (;;)
    {
        auto const end = end_of_event(unparsed);
        if (end == std::string_view::npos)
            break;
        events.push_back(parse_event(unparsed.substr(0, end)));
        unparsed.remove_prefix(end);
    }
    buffer_.erase(0, buffer_.size() - unparsed.size());
    return events;
}

} // namespace walnutmill
