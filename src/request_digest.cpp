#include <walnutmill/request_digest.hpp>

#include <walnutmill/hash.hpp>

#include <array>
#include <cstddef>
#include <cstdio>
#include <string>

namespace walnutmill
{
namespace
{

/// Appends a field with its length, so that no two lists of fields agree.
void append(std::string& to, std::string_view field)
{
    to.append(std::to_string(field.size())).append(":").append(field);
}

} // namespace

request_digest digest_of(call const& request, std::string_view body)
{
    std::string fields;
    for (std::string_view const field :
         {std::string_view(request.owner.str()), std::string_view(request.host),
          std::string_view(request.method), std::string_view(request.target),
          std::string_view(request.program.previous_turn.str()),
          std::string_view(request.subject)})
        append(fields, field);
    for (auto const& part : request.prompt)
        append(fields, part.id);
    if (body.empty())
    {
        append(fields, request.program.program.str());
        append(fields, request.program.line);
    }
    append(fields, std::to_string(stable_hash(body)));
    return stable_hash(fields);
}

std::string to_text(request_digest digest)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(digest));
    return text.data();
}

} // namespace walnutmill
