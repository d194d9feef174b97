#include <walnutmill/record.hpp>

#include "cbor.hpp"
#include "record_json.hpp"

namespace walnutmill
{
namespace
{

using nlohmann::json;

struct body_encoder
{
    json operator()(program_created const& r) const
    {
        return {{"k", "created"},           {"p", r.program.str()},
                {"parent", r.parent.str()}, {"root", r.root.str()},
                {"ws", r.workspace.str()},  {"budget", r.budget},
                {"req", r.request.str()}};
    }
    json operator()(slice_drawn const& r) const
    {
        return {{"k", "slice"}, {"p", r.root.str()}, {"units", r.units}};
    }
    json operator()(slice_returned const& r) const
    {
        return {{"k", "unslice"}, {"p", r.root.str()}, {"units", r.units}};
    }
    json operator()(budget_changed const& r) const
    {
        return {{"k", "budget"}, {"p", r.root.str()}, {"units", r.units}};
    }
    json operator()(call_intent const& r) const
    {
        return {{"k", "intent"},         {"p", r.program.str()},
                {"n", r.number},         {"req", r.request.str()},
                {"hash", r.body_hash},   {"target", r.target.str()},
                {"reserved", r.reserved}};
    }
    json operator()(call_outcome const& r) const
    {
        return {
            {"k", "outcome"},
            {"p", r.program.str()},
            {"n", r.number},
            {"req", r.request.str()},
            {"hash", r.body_hash},
            {"service", r.service.str()},
            {"target", r.target.str()},
            {"in", json::binary({r.input.begin(), r.input.end()})},
            {"out", json::binary({r.output.begin(), r.output.end()})},
            {"refused", r.refused},
            {"code", to_string(r.code)},
            {"ran", to_string(r.ran)},
            {"cost", r.cost},
            {"hist", r.in_history}};
    }
    json operator()(hold_taken const& r) const
    {
        return {
            {"k", "hold"}, {"p", r.program.str()}, {"target", r.target.str()}};
    }
    json operator()(hold_released const& r) const
    {
        return {
            {"k", "unhold"},
            {"p", r.program.str()},
            {"target", r.target.str()}};
    }
    json operator()(program_ended const& r) const
    {
        return {
            {"k", "ended"},
            {"p", r.program.str()},
            {"reason", static_cast<int>(r.reason)}};
    }
};

template<class Id>
Id id_at(json const& j, char const* key)
{
    return Id(j.at(key).get<std::string>());
}

std::string bytes_at(json const& j, char const* key)
{
    auto const& bytes = j.at(key).get_binary();
    return {bytes.begin(), bytes.end()};
}

call_outcome outcome_from(json const& j)
{
    call_outcome r;
    r.program = id_at<program_id>(j, "p");
    r.number = j.at("n");
    r.request = id_at<request_id>(j, "req");
    r.body_hash = j.at("hash");
    r.service = id_at<service_name>(j, "service");
    r.target = id_at<target_name>(j, "target");
    r.input = bytes_at(j, "in");
    r.output = bytes_at(j, "out");
    r.refused = j.at("refused");
    r.code = errc_from(j.at("code").get<std::string>());
    r.ran = certainty_from(j.at("ran").get<std::string>());
    r.cost = j.at("cost");
    r.in_history = j.at("hist");
    return r;
}

record_body body_from(json const& j)
{
    auto const kind = j.at("k").get<std::string>();
    if (kind == "created")
    {
        return program_created{
            id_at<program_id>(j, "p"),
            id_at<program_id>(j, "parent"),
            id_at<program_id>(j, "root"),
            id_at<workspace_name>(j, "ws"),
            j.at("budget"),
            id_at<request_id>(j, "req")};
    }
    if (kind == "slice")
        return slice_drawn{id_at<program_id>(j, "p"), j.at("units")};
    if (kind == "unslice")
        return slice_returned{id_at<program_id>(j, "p"), j.at("units")};
    if (kind == "budget")
        return budget_changed{id_at<program_id>(j, "p"), j.at("units")};
    if (kind == "intent")
    {
        return call_intent{id_at<program_id>(j, "p"),       j.at("n"),
                           id_at<request_id>(j, "req"),     j.at("hash"),
                           id_at<target_name>(j, "target"), j.at("reserved")};
    }
    if (kind == "outcome")
        return outcome_from(j);
    if (kind == "hold" || kind == "unhold")
    {
        auto const program = id_at<program_id>(j, "p");
        auto const target = id_at<target_name>(j, "target");
        if (kind == "hold")
            return hold_taken{program, target};
        return hold_released{program, target};
    }
    if (kind == "ended")
    {
        return program_ended{
            id_at<program_id>(j, "p"),
            static_cast<end_reason>(j.at("reason").get<int>())};
    }
    throw std::invalid_argument("unknown record kind " + kind);
}

} // namespace

namespace detail
{

json record_to_json(journal_record const& record)
{
    auto j = std::visit(body_encoder(), record.body);
    j["s"] = record.shard;
    j["e"] = record.epoch;
    return j;
}

journal_record record_from_json(json const& j)
{
    return {j.at("s"), j.at("e"), body_from(j)};
}

} // namespace detail

std::string encode_records(std::vector<journal_record> const& records)
{
    auto batch = json::array();
    for (auto const& record : records)
        batch.push_back(detail::record_to_json(record));
    std::string bytes;
    json::to_cbor(batch, bytes);
    return bytes;
}

result<std::vector<journal_record>> decode_records(std::string_view bytes)
{
    try
    {
        std::vector<journal_record> records;
        for (auto const& j : decode_cbor(bytes))
            records.push_back(detail::record_from_json(j));
        return records;
    }
    catch (std::exception const& e)
    {
        refusal bad;
        bad.message = std::string("unreadable journal batch: ") + e.what();
        return bad;
    }
}

} // namespace walnutmill
