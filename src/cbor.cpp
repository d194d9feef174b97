#include "cbor.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// Major types of CBOR (RFC 8949, section 3.1).
enum major_type : std::uint8_t
{
    unsigned_integer = 0,
    negative_integer = 1,
    byte_string = 2,
    text_string = 3,
    array = 4,
    map = 5,
    tag = 6,
    simple_or_float = 7
};

/// The first byte of an item and the argument that follows it.
struct item_head
{
    std::uint8_t type = 0;
    std::uint64_t argument = 0;
    /// The item has no stated length, or is the break that ends such an item.
    bool is_indefinite = false;
};

/// Walks over the items of a value. The library's reader calls itself for
/// each level, so that deep nesting would exhaust the stack.
class depth_checker
{
public:
    explicit depth_checker(std::string_view bytes) : rest_(bytes) {}

    /// \return true if the bytes begin with a whole value that is not nested
    /// too deeply
    bool check()
    {
        do
        {
            auto const head = read_head();
            if (!head || !enter(*head))
                return false;
            while (!open_.empty() && open_.back() == 0)
                open_.pop_back();
        } while (!open_.empty());
        return true;
    }

private:
    /// Number of items left of an array or map without a stated length.
    static constexpr std::uint64_t unknown = ~std::uint64_t{0};

    std::optional<item_head> read_head()
    {
        constexpr unsigned type_shift = 5;
        constexpr unsigned argument_mask = 0x1f;
        constexpr unsigned first_long_argument = 24;
        constexpr unsigned last_long_argument = 27;
        constexpr unsigned indefinite = 31;
        constexpr unsigned byte_bits = 8;
        if (rest_.empty())
            return std::nullopt;
        unsigned const first = take_byte();
        item_head head;
        head.type = static_cast<std::uint8_t>(first >> type_shift);
        auto const argument = first & argument_mask;
        head.is_indefinite = argument == indefinite;
        if (argument < first_long_argument)
            head.argument = argument;
        else if (argument <= last_long_argument)
        {
            auto const size = std::size_t{1}
                              << (argument - first_long_argument);
            if (rest_.size() < size)
                return std::nullopt;
            for (std::size_t i = 0; i < size; ++i)
                head.argument = head.argument << byte_bits | take_byte();
        }
        else if (!head.is_indefinite)
            return std::nullopt;
        return head;
    }

    std::uint8_t take_byte()
    {
        auto const byte = static_cast<std::uint8_t>(rest_.front());
        rest_.remove_prefix(1);
        return byte;
    }

    bool enter(item_head const& head)
    {
        if (head.type == simple_or_float && head.is_indefinite)
            return leave_indefinite();
        if (!open_.empty() && open_.back() != unknown)
            --open_.back();
        switch (head.type)
        {
        case byte_string:
        case text_string:
            return skip_string(head);
        case array:
        case map:
            return enter_container(head);
        case tag:
            return false;
        default:
            return !head.is_indefinite;
        }
    }

    bool leave_indefinite()
    {
        if (open_.empty() || open_.back() != unknown)
            return false;
        open_.back() = 0;
        return true;
    }

    bool enter_container(item_head const& head)
    {
        // Each element has at least one byte, so a larger number is impossible.
        if (open_.size() >= max_cbor_depth ||
            (!head.is_indefinite && head.argument > rest_.size()))
            return false;
        auto const items_per_element = head.type == map ? 2 : 1;
        open_.push_back(
            head.is_indefinite ? unknown : head.argument * items_per_element);
        return true;
    }

    bool skip_string(item_head const& head)
    {
        if (!head.is_indefinite)
            return skip(head.argument);
        while (true)
        {
            auto const chunk = read_head();
            if (!chunk)
                return false;
            if (chunk->type == simple_or_float && chunk->is_indefinite)
                return true;
            if (chunk->type != head.type || chunk->is_indefinite ||
                !skip(chunk->argument))
                return false;
        }
    }

    bool skip(std::uint64_t size)
    {
        if (size > rest_.size())
            return false;
        rest_.remove_prefix(size);
        return true;
    }

    std::string_view rest_;
    /// Number of items left of each array and map that contains the position.
    std::vector<std::uint64_t> open_;
};

json decode(std::string_view bytes, bool whole_input)
{
    constexpr bool may_throw = false;
    if (!depth_checker(bytes).check())
        return json(json::value_t::discarded);
    return json::from_cbor(bytes.begin(), bytes.end(), whole_input, may_throw);
}

} // namespace

json decode_cbor(std::string_view bytes)
{
    return decode(bytes, true);
}

json decode_cbor_prefix(std::string_view bytes)
{
    return decode(bytes, false);
}

} // namespace walnutmill
