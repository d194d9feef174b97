#include "object_reader.hpp"

#include "json_text.hpp"

#include <algorithm>
#include <sstream>

namespace walnutmill
{
namespace detail
{

using nlohmann::json;

object_reader::object_reader(
    json const& value, std::string pointer, findings& problems)
    : value_(value), pointer_(std::move(pointer)), problems_(problems)
{
    if (!value_.is_object())
        problems_.add(pointer_, "must be an object");
}

json const* object_reader::find(char const* key)
{
    known_.insert(key);
    if (!value_.is_object())
        return nullptr;
    auto const at = value_.find(key);
    return at == value_.end() ? nullptr : &*at;
}

void object_reader::add(char const* key, std::string message)
{
    problems_.add(child_pointer(pointer_, key), std::move(message));
}

void object_reader::text(char const* key, std::string& into, text_check check)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    if (!member->is_string())
    {
        add(key, "must be a string");
        return;
    }
    auto problem = check(member->get_ref<std::string const&>());
    if (problem.empty())
        into = member->get<std::string>();
    else
        add(key, std::move(problem));
}

void object_reader::required_text(
    char const* key, std::string& into, text_check check)
{
    text(key, into, check);
    if (value_.is_object() && !value_.contains(key))
        add(key, "is missing");
}

void object_reader::flag(char const* key, bool& into)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    if (member->is_boolean())
        into = member->get<bool>();
    else
        add(key, "must be true or false");
}

void object_reader::real(
    char const* key, double& into, number_range<double> range)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    double const number = member->is_number() ? member->get<double>() : 0;
    if (member->is_number() && number >= range.least && number <= range.most)
    {
        into = number;
        return;
    }
    std::ostringstream message;
    message << "must be a number from " << range.least << " to " << range.most;
    add(key, message.str());
}

void object_reader::whole(
    char const* key, std::uint64_t& into, number_range<std::uint64_t> range)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    if (member->is_number_unsigned())
    {
        auto const number = member->get<std::uint64_t>();
        if (number >= range.least && number <= range.most)
        {
            into = number;
            return;
        }
    }
    add(key, "must be a whole number from " + std::to_string(range.least) +
                 " to " + std::to_string(range.most));
}

void object_reader::milliseconds(
    char const* key, std::chrono::milliseconds& into,
    number_range<std::uint64_t> range)
{
    auto number = static_cast<std::uint64_t>(into.count());
    whole(key, number, range);
    into = std::chrono::milliseconds(number);
}

void object_reader::choose(char const* key, std::size_t& into, name_list names)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    std::string const given =
        member->is_string() ? member->get<std::string>() : std::string();
    auto const* const at = std::find(names.begin(), names.end(), given);
    if (at != names.end())
    {
        into = static_cast<std::size_t>(at - names.begin());
        return;
    }
    std::string expected;
    for (auto const* name : names)
        expected += std::string(expected.empty() ? "" : ", ") + name;
    add(key, "must be one of " + expected);
}

void object_reader::each(char const* key, item_fn const& take)
{
    auto const* member = find(key);
    if (member == nullptr)
        return;
    if (!member->is_array())
    {
        add(key, "must be an array");
        return;
    }
    auto const pointer = child_pointer(pointer_, key);
    for (std::size_t i = 0; i < member->size(); ++i)
        take((*member)[i], child_pointer(pointer, i));
}

void object_reader::object(char const* key, item_fn const& take)
{
    auto const* member = find(key);
    if (member != nullptr)
        take(*member, child_pointer(pointer_, key));
}

void object_reader::each_text(
    char const* key, text_check check,
    std::function<void(std::string)> const& take)
{
    std::set<std::string> seen;
    each(
        key,
        [&](json const& item, std::string const& pointer)
        {
            if (!item.is_string())
            {
                problems_.add(pointer, "must be a string");
                return;
            }
            auto text = item.get<std::string>();
            auto problem = check(text);
            if (problem.empty() && !seen.insert(text).second)
                problem = "stands twice in its list";
            if (problem.empty())
                take(std::move(text));
            else
                problems_.add(pointer, std::move(problem));
        });
}

void object_reader::finish()
{
    if (!value_.is_object())
        return;
    for (auto const& member : value_.items())
        if (known_.count(member.key()) == 0)
            problems_.add(child_pointer(pointer_, member.key()), "unknown key");
}

} // namespace detail
} // namespace walnutmill
