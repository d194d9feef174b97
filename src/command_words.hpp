#ifndef WALNUTMILL_SRC_COMMAND_WORDS_HPP
#define WALNUTMILL_SRC_COMMAND_WORDS_HPP

/// \file
/// Building blocks of the language's grammar. For command_grammar.cpp alone:
/// Boost.Spirit X3 takes seconds to compile.

#include <cctype>
#include <utility>
#include <vector>

#include <boost/spirit/home/x3.hpp>

namespace walnutmill
{
namespace grammar
{

namespace x3 = boost::spirit::x3;

inline bool is_word_char(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           c == '-';
}

/// A whole word in any case. X3's own literals match prefixes and have no
/// readable name in errors.
struct keyword : x3::parser<keyword>
{
    using attribute_type = x3::unused_type;
    static bool const has_attribute = false;

    explicit keyword(char const* word) : text(word) {}

    template<class Iterator, class Context, class Rule, class Attribute>
    bool parse(
        Iterator& first, Iterator const& last, Context const& context,
        Rule const&, Attribute&) const
    {
        x3::skip_over(first, last, context);
        auto at = first;
        for (char const* c = text; *c != '\0'; ++c, ++at)
        {
            if (at == last ||
                std::tolower(static_cast<unsigned char>(*at)) != *c)
                return false;
        }
        if (at != last && is_word_char(*at))
            return false;
        first = at;
        return true;
    }

    char const* text;
};

} // namespace grammar
} // namespace walnutmill

/// Names for errors: X3 knows none for these and would show mangled types.
template<>
struct boost::spirit::x3::get_info<walnutmill::grammar::keyword>
{
    using result_type = std::string;
    std::string operator()(walnutmill::grammar::keyword const& word) const
    {
        return word.text;
    }
};

template<class Subject, class Action>
struct boost::spirit::x3::get_info<boost::spirit::x3::action<Subject, Action>>
{
    using result_type = std::string;
    std::string
    operator()(boost::spirit::x3::action<Subject, Action> const& parser) const
    {
        return boost::spirit::x3::what(parser.subject);
    }
};

template<class Subject>
struct boost::spirit::x3::get_info<boost::spirit::x3::plus<Subject>>
{
    using result_type = std::string;
    std::string operator()(boost::spirit::x3::plus<Subject> const& parser) const
    {
        return boost::spirit::x3::what(parser.subject);
    }
};

template<class Left, class Right>
struct boost::spirit::x3::get_info<boost::spirit::x3::list<Left, Right>>
{
    using result_type = std::string;
    std::string
    operator()(boost::spirit::x3::list<Left, Right> const& parser) const
    {
        return boost::spirit::x3::what(parser.left);
    }
};

namespace walnutmill
{
namespace grammar
{

inline keyword kw(char const* word)
{
    return keyword(word);
}

// Semantic actions: store the attribute in a member of the rule's value.
template<class Struct, class Member>
auto put(Member Struct::*member)
{
    return [member](auto& context)
    { x3::_val(context).*member = Member(x3::_attr(context)); };
}

template<class Struct, class Member>
auto add(std::vector<Member> Struct::*member)
{
    return [member](auto& context)
    { (x3::_val(context).*member).push_back(Member(x3::_attr(context))); };
}

template<class Struct, class Member>
auto fix(Member Struct::*member, Member value)
{
    return [member, value](auto& context)
    { x3::_val(context).*member = value; };
}

template<class Value>
auto become(Value value)
{
    return [value](auto& context) { x3::_val(context) = value; };
}

// Turns any attribute into the rule's value.
inline auto const take = [](auto& context)
{ x3::_val(context) = std::move(x3::_attr(context)); };

} // namespace grammar
} // namespace walnutmill

#endif
