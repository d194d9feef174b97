#include <walnutmill/config_store.hpp>

#include "config_attempt.hpp"
#include "config_rows.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// A version read from the head can be erased before its document is read,
/// if as many changes as are kept come in between; then the head is read
/// again.
constexpr int max_reads = 3;

refusal make_refusal(errc code, std::string message)
{
    refusal made;
    made.code = code;
    made.message = std::move(message);
    return made;
}

bool serves(configuration_ack const& ack)
{
    return !ack.fenced && ack.applied != 0;
}

} // namespace

std::uint64_t
accepted_version(std::uint64_t head, std::vector<configuration_ack> const& acks)
{
    auto accepted = head;
    for (auto const& one : acks)
        if (serves(one))
            accepted = std::min(accepted, one.applied);
    return accepted;
}

std::vector<session_id>
waits_for(std::uint64_t version, std::vector<configuration_ack> const& acks)
{
    std::vector<session_id> made;
    for (auto const& one : acks)
        if (serves(one) && one.applied < version)
            made.push_back(one.session);
    return made;
}

config_store::config_store(table_service table, object_store objects)
    : table_(std::move(table)), objects_(std::move(objects))
{
}

result<std::uint64_t> config_store::read_head() const
{
    auto const rows = table_.read({detail::config_head_key});
    if (!rows)
        return rows.error();
    if (rows.value().empty())
        return std::uint64_t(0);
    auto const head = detail::decode_config_head(rows.value().front().value);
    if (!head)
        return head.error();
    return head.value().version;
}

result<std::shared_ptr<configuration const>>
config_store::read_newer(std::uint64_t known) const
{
    for (int i = 0; i < max_reads; ++i)
    {
        auto const head = read_head();
        if (!head)
            return head.error();
        if (head.value() == 0)
            return make_refusal(
                errc::not_found, "there is no configuration yet");
        if (head.value() <= known)
            return std::shared_ptr<configuration const>();
        auto read = read_version(head.value());
        if (read || read.error().code != errc::not_found)
            return read;
    }
    return make_refusal(
        errc::store_unavailable, "the configuration changes too fast to read");
}

result<std::shared_ptr<configuration const>>
config_store::read_version(std::uint64_t version) const
{
    auto const rows = table_.read({detail::config_document_key(version)});
    if (!rows)
        return rows.error();
    if (rows.value().empty())
        return make_refusal(
            errc::not_found, "version " + std::to_string(version) +
                                 " of the configuration is not kept");
    auto row = detail::decode_config_document(rows.value().front().value);
    if (!row)
        return row.error();
    auto text = std::move(row.value().text);
    if (!row.value().object.empty())
    {
        auto object = objects_.get(row.value().object);
        if (!object)
            return object.error();
        text = std::move(object.value());
    }
    auto parsed = parse_configuration(text);
    if (!parsed.problems.empty())
        return make_refusal(
            errc::internal, "the stored configuration is unsound");
    parsed.value.version = version;
    return std::make_shared<configuration const>(std::move(parsed.value));
}

result<change_outcome>
config_store::change(configuration_change const& wanted) const
{
    return detail::config_attempt(*this, table_, objects_, wanted).run();
}

} // namespace walnutmill
