#include "stored_configuration.hpp"
#include "refusals.hpp"

#include <walnutmill/config_store.hpp>

namespace walnutmill
{
namespace
{

constexpr char const* first_command = "init";

/// The first version is written without an object store.
object_store no_objects()
{
    object_store made;
    made.put = [](std::string_view, std::string_view) -> result<void>
    { return refuse(errc::too_large, "too long for the first version"); };
    return made;
}

} // namespace

result<std::shared_ptr<configuration const>>
read_configuration(table_service const& table, object_store const& objects)
{
    return config_store(table, objects).read_newer(0);
}

result<void>
write_first_configuration(table_service const& table, configuration config)
{
    configuration_change wanted;
    wanted.next = std::move(config);
    wanted.command_id = first_command;
    wanted.who = first_command;
    auto const made = config_store(table, no_objects()).change(wanted);
    if (!made)
        return made.error();
    auto const status = made.value().status;
    if (status == change_status::committed || status == change_status::repeated)
        return boost::outcome_v2::success();
    return refuse(errc::conflict, "there is a configuration already");
}

} // namespace walnutmill
