#include "target_link.hpp"

#include <walnutmill/target_rows.hpp>

#include "blocking_http.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
// A target that is slower counts as not reachable; the next poll asks again.
constexpr std::chrono::seconds read_timeout{2};
// With the send window and the network this stays below longest_order.
constexpr std::chrono::seconds order_timeout{5};

class engine_link
{
public:
    explicit engine_link(std::string const& address)
        : reads_(address, read_timeout), orders_(address, order_timeout)
    {
    }

    observed_target read()
    {
        auto const state = reads_.get("/v1/state");
        if (!is_ok(state))
            return {};
        auto observed = observed_from_state(state.value().body);
        auto const waiting = queued();
        auto const held = holds();
        if (!observed || !waiting || !held)
            return {};
        observed.value().running += *waiting;
        observed.value().holds =
            static_cast<std::uint32_t>(held.value().size());
        return observed.value();
    }

    send_outcome send(target_order const& order)
    {
        auto const reply =
            orders_.post("/v1/orders", order_request_body(order));
        if (!reply)
        {
            return reply.error().ran == certainty::not_run
                       ? send_outcome::not_run
                       : send_outcome::unknown;
        }
        switch (reply.value().status)
        {
        case status_ok:
            return send_outcome::accepted;
        case status_conflict:
            return send_outcome::fenced;
        case status_too_many:
        case status_unavailable:
            return send_outcome::not_run;
        default:
            return send_outcome::unknown;
        }
    }

    result<std::vector<program_id>> holds()
    {
        auto const reply = reads_.get("/v1/holds");
        if (!is_ok(reply))
            return refusal{};
        auto const j = json::parse(reply.value().body, nullptr, false);
        if (!j.is_object() || !j.contains("holds") || !j["holds"].is_array())
            return refusal{};
        std::vector<program_id> programs;
        for (auto const& hold : j["holds"])
        {
            if (hold.is_object() && hold.contains("program") &&
                hold["program"].is_string())
                programs.emplace_back(hold["program"].get<std::string>());
        }
        return programs;
    }

    bool release(program_id const& program)
    {
        return is_ok(reads_.post(
            "/v1/holds/release", json{{"program", program.str()}}.dump()));
    }

private:
    static bool is_ok(result<http_reply> const& reply)
    {
        return reply && reply.value().status == status_ok;
    }

    // Calls that wait at the engine are not among the running ones.
    std::optional<std::uint32_t> queued()
    {
        auto const reply = reads_.get("/v1/load");
        if (!is_ok(reply))
            return std::nullopt;
        auto const j = json::parse(reply.value().body, nullptr, false);
        if (!j.is_object() || !j.contains("queued") ||
            !j["queued"].is_number_unsigned())
            return std::nullopt;
        return j["queued"].get<std::uint32_t>();
    }

    blocking_http reads_;
    blocking_http orders_;
};

} // namespace

target_link make_target_link(std::string const& address)
{
    auto const engine = std::make_shared<engine_link>(address);
    target_link link;
    link.read = [engine] { return engine->read(); };
    link.send = [engine](target_order const& order)
    { return engine->send(order); };
    link.holds = [engine] { return engine->holds(); };
    link.release = [engine](program_id const& program)
    { return engine->release(program); };
    return link;
}

} // namespace walnutmill
