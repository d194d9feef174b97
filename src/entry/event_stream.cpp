#include "entry/event_stream.hpp"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

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

/// \return the number in a line "id: number"
std::optional<std::uint64_t> id_of(std::string_view line)
{
    auto const id = field_value(line, "id");
    std::uint64_t number = 0;
    if (!id ||
        !boost::conversion::try_lexical_convert(id->data(), id->size(), number))
        return std::nullopt;
    return number;
}

void parse_line(server_sent_event& to, std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (auto const id = id_of(line))
        to.id = id;
    else if (auto const data = field_value(line, "data"))
    {
        if (to.has_data)
            to.data.push_back('\n');
        to.data.append(*data);
        to.has_data = true;
    }
}

/// \param text ends with a line feed
server_sent_event parse_event(std::string text)
{
    server_sent_event to;
    std::string_view rest = text;
    while (!rest.empty())
    {
        auto const end = rest.find('\n');
        parse_line(to, rest.substr(0, end));
        rest.remove_prefix(end + 1);
    }
    to.text = std::move(text);
    return to;
}

} // namespace

std::vector<server_sent_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    if (too_long_)
        return events;
    buffer_.append(bytes);
    while (!too_long_)
    {
        auto const end = buffer_.find('\n', search_from_);
        auto const next = end == std::string::npos ? buffer_.size() : end + 1;
        searched_bytes_ += next - search_from_;
        search_from_ = next;
        if (end == std::string::npos)
            break;
        end_line(end, events);
    }
    buffer_.erase(0, event_begin_);
    line_begin_ -= event_begin_;
    search_from_ -= event_begin_;
    event_begin_ = 0;
    too_long_ = too_long_ || buffer_.size() > max_bytes_;
    if (too_long_)
    {
        buffer_ = std::string();
        line_begin_ = 0;
        search_from_ = 0;
        has_data_ = false;
    }
    return events;
}

/// \param end position of the line feed
void event_splitter::end_line(
    std::size_t end, std::vector<server_sent_event>& events)
{
    auto line =
        std::string_view(buffer_).substr(line_begin_, end - line_begin_);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    // A blank line ends an event unless it is its first line.
    auto const ends_event = line.empty() && line_begin_ > event_begin_;
    line_begin_ = end + 1;
    if (!ends_event)
    {
        has_data_ = has_data_ || field_value(line, "data");
        if (auto const id = id_of(line))
            id_ = id;
        return;
    }
    auto const size = line_begin_ - event_begin_;
    if (size > max_bytes_)
    {
        too_long_ = true;
        return;
    }
    events.push_back(parse_event(buffer_.substr(event_begin_, size)));
    event_begin_ = line_begin_;
    has_data_ = false;
    id_.reset();
}

bool event_splitter::receives_event_after(
    std::optional<std::uint64_t> last) const
{
    constexpr std::string_view data_field = "data:";
    auto const in_data =
        buffer_.compare(line_begin_, data_field.size(), data_field) == 0;
    return (in_data || has_data_) && (!id_ || !last || *id_ > *last);
}

} // namespace walnutmill
