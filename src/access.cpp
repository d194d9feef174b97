#include "access.hpp"

#include "sha256.hpp"

#include <algorithm>

namespace walnutmill
{

result<principal> authorize(configuration const& config, std::string_view token)
{
    auto const digest = sha256_hex(token);
    for (auto const& workspace : config.workspaces)
    {
        for (auto const& known : workspace.tokens)
        {
            if (known.sha256 != digest)
                continue;
            auto const has = [&](right wanted)
            {
                return std::find(
                           known.rights.begin(), known.rights.end(), wanted) !=
                       known.rights.end();
            };
            return principal{
                known.principal, workspace.name, has(right::call),
                has(right::operate)};
        }
    }
    refusal why;
    why.code = errc::unauthorized;
    why.message = "unknown token";
    return why;
}

} // namespace walnutmill
