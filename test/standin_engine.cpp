// A model engine: its HTTP interface, orders and state around a batch.

#include "standin_batch.hpp"
#include "standin_role.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace walnutmill::standin
{

namespace
{

using nlohmann::json;

std::string to_base64(std::string const& bytes)
{
    // Four characters for three bytes, and a closing zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        int(bytes.size()));
    text.resize(std::size_t(length));
    return text;
}

std::string from_base64(std::string const& text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    auto const length = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<unsigned char const*>(text.data()), int(text.size()));
    bytes.resize(std::size_t(std::max(length, 0)));
    // Padding decodes to zero bytes; the blob is JSON text, which has none.
    while (!bytes.empty() && bytes.back() == '\0')
        bytes.pop_back();
    return bytes;
}

class engine_role : public role
{
public:
    explicit engine_role(surroundings& around)
        : around_(around), models_(around.options.models),
          adapters_(around.options.adapters), batch_(around)
    {
    }

    bool is_write(http_call const& call) const override
    {
        return call.method == "POST";
    }

    bool hangs_itself(http_call const& call) const override
    {
        return call.path == "/v1/generate";
    }

    void handle(http_call const& call, responder const& answer) override
    {
        if (call.method == "POST")
            post(call, json::parse(call.body), answer);
        else if (call.path == "/v1/load")
            answer.reply(200, load().dump());
        else if (call.path == "/v1/holds")
            answer.reply(200, json{{"holds", holds()}}.dump());
        else if (call.path == "/v1/state")
            answer.reply(200, state().dump());
        else if (call.path == "/v1/cache-events")
            answer.reply(200, events(call.query_value("after")));
        else
            answer.reply(404, "{}");
    }

private:
    void post(http_call const& call, json const& body, responder const& answer)
    {
        if (call.path == "/v1/generate")
            generate(body, answer);
        else if (call.path == "/v1/cancel")
            cancel(body, answer);
        else if (call.path == "/v1/holds/release")
            release(body, answer);
        else if (call.path == "/v1/kv/export")
            export_prefix(body, answer);
        else if (call.path == "/v1/kv/import")
            import_prefix(body, answer);
        else if (call.path == "/v1/orders")
            order(body, answer);
        else
            answer.reply(404, "{}");
    }

    void generate(json const& body, responder const& answer)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (!powered_)
                return answer.refuse(503);
            if (!loaded(models_, body.value("model", "")) ||
                !loaded(adapters_, body.value("adapter", "")))
                return answer.reply(404, R"({"error":"model not loaded"})");
        }
        batch_.submit(body, answer);
    }

    // An empty name asks for nothing in particular.
    static bool
    loaded(std::vector<std::string> const& names, std::string const& name)
    {
        return name.empty() ||
               std::find(names.begin(), names.end(), name) != names.end();
    }

    void cancel(json const& body, responder const& answer)
    {
        batch_.cancel(body.at("request").get<std::string>());
        answer.reply(200, "{}");
    }

    void release(json const& body, responder const& answer)
    {
        bool const released =
            batch_.release_hold(body.at("program").get<std::string>());
        answer.reply(200, json{{"released", released}}.dump());
    }

    void export_prefix(json const& body, responder const& answer)
    {
        auto const program = body.at("program").get<std::string>();
        auto const prefix = batch_.export_prefix(program);
        if (prefix.is_null())
            return answer.reply(404, "{}");
        json const shown{
            {"blob", to_base64(prefix.dump())},
            {"tokens", prefix.at("tokens")}};
        answer.reply(200, shown.dump());
    }

    void import_prefix(json body, responder const& answer)
    {
        auto const blob = body.at("blob").get<std::string>();
        body["blob"] = json::parse(from_base64(blob));
        batch_.import_prefix(body);
        answer.reply(200, "{}");
    }

    json load() const
    {
        auto const sample = batch_.load();
        return {
            {"running", sample.running},
            {"queued", sample.queued},
            {"slots", around_.options.slots},
            {"cache_used", sample.cache_used},
            {"cache_size", around_.options.cache_tokens},
            {"age_ms", (monotonic_us() - sample.at_us) / 1'000}};
    }

    json holds() const
    {
        if (around_.switches.now().forget_holds)
            return json::array();
        return batch_.holds();
    }

    std::string events(std::string const& after) const
    {
        auto const id = std::strtoull(after.c_str(), nullptr, 10);
        return json{{"events", batch_.events_after(id)}}.dump();
    }

    json state() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return {
            {"power", powered_ ? "on" : "off"},
            {"models", models_},
            {"adapters", adapters_},
            {"role", role_},
            {"fence", fence_},
            {"running", batch_.running()}};
    }

    void order(json const& body, responder const& answer)
    {
        auto const fence = body.value("fence", std::uint64_t(0));
        bool const checks = !around_.switches.now().ignore_fencing;
        std::unique_lock<std::mutex> lock(mutex_);
        bool const stale = fence < fence_;
        around_.book.add(
            "order", {{"order", body.value("order", "")},
                      {"fence", fence},
                      {"highest", fence_},
                      {"refused", stale && checks},
                      {"desired", body.at("desired")}});
        if (stale && checks)
            return answer.reply(409, json{{"fence", fence_}}.dump());
        fence_ = std::max(fence_, fence);
        lock.unlock();
        around_.after(
            around_.options.order_time,
            [this, body, answer] { reach(body.at("desired"), answer); });
    }

    void reach(json const& desired, responder const& answer)
    {
        bool cut = false;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            models_ = desired.value("models", models_);
            adapters_ = desired.value("adapters", adapters_);
            role_ = desired.value("role", role_);
            if (desired.contains("power"))
            {
                powered_ = desired.at("power") == "on";
                cut = !powered_;
            }
        }
        around_.book.add("order_done", {{"desired", desired}});
        if (cut)
        {
            batch_.cut_all();
            batch_.clear_cache();
        }
        answer.reply(200, json{{"state", state()}}.dump());
    }

    surroundings& around_;
    mutable std::mutex mutex_;
    bool powered_ = true;
    std::vector<std::string> models_;
    std::vector<std::string> adapters_;
    std::string role_;
    std::uint64_t fence_ = 0;
    batch batch_;
};

} // namespace

std::unique_ptr<role> make_engine(surroundings& around)
{
    return std::make_unique<engine_role>(around);
}

} // namespace walnutmill::standin
