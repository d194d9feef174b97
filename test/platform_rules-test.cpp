#include "platform/rules.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

bool workspaces_compete(std::string_view list)
{
    return platform::decode_rules(list).workspaces_compete;
}

} // namespace

// The platform does not state how it writes a list into a template.
TEST_CASE("platform rules: a rule is found in each form of a list")
{
    for (auto const* list :
         {"pressure", "kept,pressure", "kept, pressure ,keys",
          R"(["kept","pressure"])", "['kept', 'pressure']", "[kept pressure]",
          "kept pressure", "pressure,"})
    {
        INFO(list);
        CHECK(workspaces_compete(list));
    }
}

TEST_CASE("platform rules: other names and empty lists have no effect")
{
    for (auto const* list :
         {"", " ", ",", "[]", "kept", "pressures", "no-pressure",
          "back-pressure", "PRESSURE", "{{contracts}}", "pres sure"})
    {
        INFO(list);
        CHECK_FALSE(workspaces_compete(list));
    }
}
