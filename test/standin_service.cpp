// A plain service. It keeps no idempotency keys when it runs: a request that
// is sent twice runs twice, and the ledger shows it.

#include "standin_role.hpp"

#include <walnutmill/hash.hpp>

#include <map>

namespace walnutmill::standin
{

namespace
{

using nlohmann::json;

constexpr std::string_view query_path = "/run/";
/// Input that makes a call run and fail.
constexpr std::string_view failing_input = "fail";

class service_role : public role
{
public:
    explicit service_role(surroundings& around) : around_(around) {}

    bool is_write(http_call const& call) const override
    {
        return call.method == "POST";
    }

    bool hangs_itself(http_call const& call) const override
    {
        return call.path == "/run";
    }

    void handle(http_call const& call, responder const& answer) override
    {
        if (call.method == "POST" && call.path == "/run")
            run(json::parse(call.body), answer);
        else if (call.path.compare(0, query_path.size(), query_path) == 0)
            tell_outcome(call.path.substr(query_path.size()), answer);
        else
            answer.reply(404, "{}");
    }

private:
    void run(json const& body, responder const& answer)
    {
        auto const request = body.at("request").get<std::string>();
        auto const input = body.at("input").get<std::string>();
        around_.book.count("runs");
        around_.book.add(
            "run", {{"request", request},
                    {"program", body.value("program", "")},
                    {"number", body.value("number", 0)},
                    {"input", input}});
        {
            std::lock_guard<std::mutex> lock(mutex_);
            outputs_[request] = "";
        }
        auto const switches = around_.switches.now();
        auto const time = std::chrono::milliseconds(std::int64_t(
            double(around_.options.run_time.count()) * switches.slowdown));
        around_.after(
            time,
            [this, request, input, answer] { end(request, input, answer); });
    }

    void
    end(std::string const& request, std::string const& input,
        responder const& answer)
    {
        auto const output =
            "done " + request + ' ' + std::to_string(stable_hash(input));
        std::lock_guard<std::mutex> lock(mutex_);
        outputs_[request] = output;
        if (around_.switches.now().hang)
            unanswered_.push_back(answer);
        else if (input == failing_input)
            answer.reply(422, R"({"error":"failed as asked"})");
        else
            answer.reply(200, json{{"output", output}}.dump());
    }

    void tell_outcome(std::string const& request, responder const& answer)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const found = outputs_.find(request);
        if (found == outputs_.end())
            answer.reply(404, "{}");
        else if (found->second.empty())
            answer.reply(202, "{}");
        else
            answer.reply(200, json{{"output", found->second}}.dump());
    }

    surroundings& around_;
    std::mutex mutex_;
    /// By request; empty while it runs.
    std::map<std::string, std::string> outputs_;
    /// Kept so that their connections stay open.
    std::vector<responder> unanswered_;
};

} // namespace

std::unique_ptr<role> make_service(surroundings& around)
{
    return std::make_unique<service_role>(around);
}

} // namespace walnutmill::standin
