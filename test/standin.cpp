// walnutmill-standin ROLE: one part of the platform or one target for tests,
// as docs/PLATFORM.md says. Never shipped.

#include "standin_role.hpp"

#include <iostream>
#include <map>
#include <utility>

#include <boost/program_options.hpp>

namespace
{

using namespace walnutmill::standin;
namespace po = boost::program_options;

// What all roles have in common: the switches, the ledger, and the faults
// that strike before the role sees a request.
class gate
{
public:
    gate(surroundings& around, role& inner) : around_(around), inner_(inner) {}

    void handle(http_call const& call, responder const& answer)
    {
        try
        {
            if (call.path == "/faults")
                set_faults(call, answer);
            else if (call.path == "/ledger")
                answer.reply(200, around_.book.to_text(after(call)));
            else
                strike(call, answer);
        }
        catch (std::exception const& wrong)
        {
            nlohmann::json const told{{"error", wrong.what()}};
            answer.reply(400, told.dump());
        }
    }

private:
    static std::uint64_t after(http_call const& call)
    {
        return std::strtoull(call.query_value("after").c_str(), nullptr, 10);
    }

    void set_faults(http_call const& call, responder const& answer)
    {
        if (call.method == "POST")
            around_.switches.set(nlohmann::json::parse(call.body));
        if (!around_.switches.now().hang)
            drop_hanging();
        answer.reply(200, around_.switches.to_json().dump());
    }

    void drop_hanging()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        hanging_.clear();
    }

    void strike(http_call const& call, responder const& answer)
    {
        around_.book.count("requests");
        auto const switches = around_.switches.now();
        if (switches.hang && !inner_.hangs_itself(call))
        {
            std::lock_guard<std::mutex> lock(mutex_);
            hanging_.push_back(answer);
            return;
        }
        if (around_.switches.take_refusal())
            return answer.refuse(503);
        if (inner_.is_write(call) && around_.switches.take_lost_answer())
            answer.lose_answer();
        if (switches.stall_ms == 0)
            return inner_.handle(call, answer);
        around_.after(
            std::chrono::milliseconds(switches.stall_ms),
            [this, call, answer] { handle_late(call, answer); });
    }

    void handle_late(http_call const& call, responder const& answer)
    {
        try
        {
            inner_.handle(call, answer);
        }
        catch (std::exception const& wrong)
        {
            answer.reply(400, nlohmann::json{{"error", wrong.what()}}.dump());
        }
    }

    surroundings& around_;
    role& inner_;
    std::mutex mutex_;
    /// Kept so that their connections stay open.
    std::vector<responder> hanging_;
};

std::unique_ptr<role> make_role(std::string const& name, surroundings& around)
{
    if (name == "table")
        return make_table(around);
    if (name == "objects")
        return make_objects(around);
    if (name == "vms")
        return make_vms(around);
    if (name == "engine")
        return make_engine(around);
    if (name == "service")
        return make_service(around);
    return nullptr;
}

struct arguments
{
    std::string role;
    std::uint16_t port = 0;
    std::int64_t token_us = 200;
    std::int64_t order_ms = 20;
    std::int64_t run_ms = 1;
    role_options options;
    bool help = false;
};

po::options_description describe(arguments& into)
{
    po::options_description text("walnutmill-standin ROLE, options");
    auto& options = into.options;
    text.add_options()("help", po::bool_switch(&into.help))(
        "role", po::value(&into.role),
        "table, objects, vms, engine or service")(
        "port", po::value(&into.port), "0 picks a free one")(
        "name", po::value(&options.name), "name in the ledger")(
        "token-us", po::value(&into.token_us), "time of a decoding step")(
        "slots", po::value(&options.slots), "requests decoded at a time")(
        "queue", po::value(&options.queue), "requests that may wait")(
        "cache-tokens", po::value(&options.cache_tokens),
        "size of the prefix cache")(
        "prefill-per-step", po::value(&options.prefill_per_step),
        "prompt tokens taken in within a step")(
        "model", po::value(&options.models), "a loaded model; repeatable")(
        "adapter", po::value(&options.adapters),
        "a loaded adapter; repeatable")(
        "order-ms", po::value(&into.order_ms),
        "time until an order takes effect")(
        "run-ms", po::value(&into.run_ms), "time a plain call runs")(
        "record-turns", po::bool_switch(&options.record_turns),
        "keep all turns in the ledger");
    return text;
}

arguments parse(int count, char** values)
{
    arguments parsed;
    auto const options = describe(parsed);
    po::positional_options_description positions;
    positions.add("role", 1);
    po::variables_map seen;
    po::store(
        po::command_line_parser(count, values)
            .options(options)
            .positional(positions)
            .run(),
        seen);
    po::notify(seen);
    if (parsed.help)
        std::cout << options;
    parsed.options.token_time = std::chrono::microseconds(parsed.token_us);
    parsed.options.order_time = std::chrono::milliseconds(parsed.order_ms);
    parsed.options.run_time = std::chrono::milliseconds(parsed.run_ms);
    if (parsed.options.name.empty())
        parsed.options.name = parsed.role;
    return parsed;
}

int serve(arguments const& chosen)
{
    // The server goes last: the role may hold connections of it.
    http_server server(chosen.port);
    surroundings around(chosen.options);
    around.after = [&server](auto delay, auto then)
    { server.after(delay, std::move(then)); };
    auto const played = make_role(chosen.role, around);
    if (!played)
    {
        std::cerr << "no such role: '" << chosen.role << "'\n";
        return 2;
    }
    gate front(around, *played);
    std::cout << "listening " << server.port() << std::endl;
    server.run([&front](http_call const& call, responder const& answer)
               { front.handle(call, answer); });
    return 0;
}

} // namespace

int main(int count, char** values)
{
    try
    {
        auto const chosen = parse(count, values);
        return chosen.help ? 0 : serve(chosen);
    }
    catch (std::exception const& wrong)
    {
        std::cerr << "walnutmill-standin: " << wrong.what() << '\n';
        return 2;
    }
}
