#include "json_text.hpp"

#include <set>
#include <string>
#include <vector>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

/// Follows the parser to know the place of each key.
class place_tracker
{
public:
    explicit place_tracker(findings& problems) : problems_(problems) {}

    std::size_t depth() const { return frames_.size(); }

    void see(json::parse_event_t event, json const& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
            frames_.push_back({false, 0, {}, {}});
            break;
        case json::parse_event_t::array_start:
            frames_.push_back({true, 0, {}, {}});
            break;
        case json::parse_event_t::key:
            see_key(parsed.get_ref<std::string const&>());
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            frames_.pop_back();
            end_value();
            break;
        case json::parse_event_t::value:
            end_value();
            break;
        }
    }

    std::string pointer() const
    {
        std::string made;
        for (auto const& one : frames_)
            made = one.is_array ? child_pointer(made, one.index)
                                : child_pointer(made, one.key);
        return made;
    }

private:
    struct frame
    {
        bool is_array = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void see_key(std::string const& key)
    {
        auto& top = frames_.back();
        top.key = key;
        if (!top.keys.insert(key).second)
            problems_.add(pointer(), "stands twice in its object");
    }

    void end_value()
    {
        if (!frames_.empty() && frames_.back().is_array)
            ++frames_.back().index;
    }

    findings& problems_;
    std::vector<frame> frames_;
};

/// Thrown out of the parser to end it early.
struct nested_too_deep
{
    std::string pointer;
};

json parse_tracked(
    std::string_view text, std::size_t max_depth, findings& problems)
{
    place_tracker tracker(problems);
    auto const watch =
        [&](int /*depth*/, json::parse_event_t event, json& parsed)
    {
        tracker.see(event, parsed);
        if (tracker.depth() > max_depth)
            throw nested_too_deep{tracker.pointer()};
        return true;
    };
    return json::parse(text, watch);
}

} // namespace

json parse_json_text(
    std::string_view text, json_bounds const& bounds, findings& problems)
{
    if (text.size() > bounds.max_bytes)
    {
        problems.add(
            "",
            "is longer than " + std::to_string(bounds.max_bytes) + " bytes");
        return nullptr;
    }
    try
    {
        return parse_tracked(text, bounds.max_depth, problems);
    }
    catch (nested_too_deep const& error)
    {
        problems.add(error.pointer, "is nested too deep");
    }
    catch (json::parse_error const& error)
    {
        problems.add(
            "", "is not JSON at byte " + std::to_string(error.byte) + ": " +
                    error.what());
    }
    catch (json::exception const& error)
    {
        problems.add("", std::string("is not JSON: ") + error.what());
    }
    return nullptr;
}

std::string child_pointer(std::string const& pointer, std::string_view key)
{
    std::string made = pointer + "/";
    // RFC 6901: '~' and '/' are written "~0" and "~1".
    for (char const c : key)
    {
        if (c == '~')
            made += "~0";
        else if (c == '/')
            made += "~1";
        else
            made += c;
    }
    return made;
}

std::string child_pointer(std::string const& pointer, std::size_t index)
{
    return pointer + "/" + std::to_string(index);
}

} // namespace detail
} // namespace walnutmill
