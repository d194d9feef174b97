#include "base64.hpp"

#include <cpprest/asyncrt_utils.h>

namespace walnutmill
{

std::string to_base64(std::string_view bytes)
{
    return utility::conversions::to_base64(
        std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string from_base64(std::string const& text)
{
    auto const bytes = utility::conversions::from_base64(text);
    return {bytes.begin(), bytes.end()};
}

} // namespace walnutmill
