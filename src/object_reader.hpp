#ifndef WALNUTMILL_SRC_OBJECT_READER_HPP
#define WALNUTMILL_SRC_OBJECT_READER_HPP

/// \file
/// Reads one JSON object member by member; what is wrong with any member is
/// a finding with its JSON pointer.

#include <walnutmill/finding.hpp>

#include <boost/beast/core/span.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace walnutmill
{
namespace detail
{

/// Text of one of several enumerators; its place in the list is its value.
using name_list = boost::beast::span<char const* const>;

/// Bounds of a number, both inclusive.
template<class Number>
struct number_range
{
    Number least;
    Number most;
};

/// \return what is wrong with a text; empty when sound.
using text_check = std::string (*)(std::string const&);

/// A member that is absent leaves the value passed in as it is, unless it is
/// required. Members that nobody asked for are findings of finish().
class object_reader
{
public:
    /// \param value the object; anything else is a finding
    object_reader(
        nlohmann::json const& value, std::string pointer, findings& problems);

    void text(char const* key, std::string& into, text_check check);
    void required_text(char const* key, std::string& into, text_check check);
    template<class Id>
    void name(char const* key, Id& into, text_check check)
    {
        std::string text = into.str();
        this->text(key, text, check);
        into = Id(std::move(text));
    }
    template<class Id>
    void required_name(char const* key, Id& into, text_check check)
    {
        std::string text;
        required_text(key, text, check);
        into = Id(std::move(text));
    }
    void flag(char const* key, bool& into);
    void real(char const* key, double& into, number_range<double> range);
    template<class Number>
    void number(char const* key, Number& into, number_range<Number> range)
    {
        std::uint64_t wide = into;
        whole(key, wide, {range.least, range.most});
        into = static_cast<Number>(wide);
    }
    void milliseconds(
        char const* key, std::chrono::milliseconds& into,
        number_range<std::uint64_t> range);
    template<class Enum, std::size_t Size>
    void choice(
        char const* key, Enum& into, std::array<char const*, Size> const& names)
    {
        std::size_t index = static_cast<std::size_t>(into);
        choose(key, index, name_list(names.data(), names.size()));
        into = static_cast<Enum>(index);
    }

    using item_fn =
        std::function<void(nlohmann::json const&, std::string const& pointer)>;
    /// Calls `take` for each element of an array.
    void each(char const* key, item_fn const& take);
    /// Calls `take` with a member object, if it is there.
    void object(char const* key, item_fn const& take);
    /// Reads an array of distinct names.
    template<class Id>
    void names(char const* key, std::vector<Id>& into, text_check check)
    {
        each_text(
            key, check,
            [&into](std::string text) { into.push_back(Id(std::move(text))); });
    }
    /// Reads an array of distinct texts, passing on those that are sound.
    void each_text(
        char const* key, text_check check,
        std::function<void(std::string)> const& take);
    /// Reports members that were not read.
    void finish();

private:
    nlohmann::json const* find(char const* key);
    void add(char const* key, std::string message);
    void whole(
        char const* key, std::uint64_t& into,
        number_range<std::uint64_t> range);
    void choose(char const* key, std::size_t& into, name_list names);

    nlohmann::json const& value_;
    std::string pointer_;
    findings& problems_;
    std::set<std::string> known_;
};

} // namespace detail
} // namespace walnutmill

#endif
