#include "access.hpp"

#include "sha256.hpp"

#include <algorithm>

namespace walnutmill
{

namespace
{
constexpr std::chrono::milliseconds come_back{200};
}

result<principal> authorize(configuration const& config, std::string_view token)
{
    refusal why;
    if (config.version == 0)
    {
        // Nothing is known of tokens yet, which is no reason to turn a good
        // one away for good.
        why.code = errc::unavailable;
        why.message = "no configuration was read yet";
        why.retry_after = come_back;
        return why;
    }
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
    why.code = errc::unauthorized;
    why.message = "unknown token";
    return why;
}

} // namespace walnutmill
