#include <walnutmill/logging.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string>

namespace walnutmill
{
namespace
{

namespace logging = boost::log;
using json = nlohmann::ordered_json;
using backend = logging::sinks::text_ostream_backend;
using sink = logging::sinks::synchronous_sink<backend>;
using logger = logging::sources::severity_channel_logger_mt<severity>;

/// Above every severity: nothing is logged before init_logging().
constexpr int log_nothing = static_cast<int>(severity::error) + 1;
std::atomic<int> least_logged{log_nothing};

std::string_view name_of(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        break;
    }
    return "error";
}

/// \return the time of day in UTC, for example "2026-03-01T09:30:00.125Z".
std::string utc_now()
{
    using std::chrono::milliseconds;
    auto const since_epoch = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::time_t const seconds = since_epoch.count() / 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(since_epoch.count() % 1'000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text.data()) + "." + fraction + "Z";
}

template<class T>
T attribute_of(logging::record_view const& record, char const* name)
{
    auto const found = record[name].extract<T>();
    return found ? *found : T();
}

void format_line(
    logging::record_view const& record, logging::formatting_ostream& out)
{
    json line;
    line["time"] = utc_now();
    line["severity"] = name_of(attribute_of<severity>(record, "Severity"));
    line["component"] = attribute_of<std::string>(record, "Channel");
    line["node"] = attribute_of<std::string>(record, "Node");
    line["message"] = attribute_of<std::string>(record, "Message");
    // A caller's field never replaces one of ours.
    auto const fields = attribute_of<json>(record, "Fields");
    for (auto const& one : fields.items())
        if (!line.contains(one.key()))
            line[one.key()] = one.value();
    // Callers' bytes need not be UTF-8; a log line always is.
    out << line.dump(-1, ' ', false, json::error_handler_t::replace);
}

boost::shared_ptr<sink> make_sink()
{
    auto made = boost::make_shared<sink>();
    made->locked_backend()->add_stream(
        boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    made->locked_backend()->auto_flush(true);
    made->set_formatter(&format_line);
    return made;
}

} // namespace

void init_logging(severity least, std::string_view node)
{
    auto const core = logging::core::get();
    core->remove_all_sinks();
    core->add_sink(make_sink());
    auto attributes = core->get_global_attributes();
    attributes.erase("Node");
    attributes.insert(
        "Node",
        logging::attributes::make_constant<std::string>(std::string(node)));
    core->set_global_attributes(attributes);
    least_logged = static_cast<int>(least);
}

void write_log(
    severity level, std::string_view component, std::string_view message,
    std::initializer_list<log_field> fields)
{
    if (static_cast<int>(level) < least_logged)
        return;
    json further = json::object();
    for (auto const& one : fields)
        further[std::string(one.key)] = one.value;
    static logger source;
    auto record = source.open_record(
        (logging::keywords::severity = level,
         logging::keywords::channel = std::string(component)));
    if (!record)
        return;
    logging::record_ostream out(record);
    out << logging::add_value("Fields", further) << message;
    out.flush();
    source.push_record(std::move(record));
}

} // namespace walnutmill
