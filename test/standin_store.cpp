// The platform's table service, object store and list of VMs.

#include "standin_role.hpp"

#include <deque>
#include <map>

namespace walnutmill::standin
{

namespace
{

using nlohmann::json;

constexpr std::string_view objects_path = "/objects/";
constexpr std::size_t max_scan_rows = 1'000;

// Values stay in their base64 form: it is canonical, so equal forms mean
// equal bytes.
class table_role : public role
{
public:
    explicit table_role(surroundings& around) : around_(around) {}

    bool is_write(http_call const& call) const override
    {
        return call.path == "/table/commit";
    }

    void handle(http_call const& call, responder const& answer) override
    {
        auto const body = json::parse(call.body);
        if (call.path == "/table/commit")
            commit(body, answer);
        else if (call.path == "/table/read")
            answer.reply(200, read(body).dump());
        else if (call.path == "/table/scan")
            answer.reply(200, scan(body).dump());
        else
            answer.reply(404, "{}");
    }

private:
    void commit(json const& body, responder const& answer)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto const failed = failed_conditions(body);
        around_.book.count("commits");
        around_.book.count("bytes_written", body_bytes(body));
        json keys = json::array();
        for (auto const& write : body.at("writes"))
            keys.push_back(write.at("key"));
        around_.book.add(
            "commit", {{"id", body.at("id")},
                       {"keys", keys},
                       {"committed", failed.empty()},
                       {"failed", failed}});
        if (!failed.empty())
        {
            json const refused{{"committed", false}, {"failed", failed}};
            return answer.reply(409, refused.dump());
        }
        apply(body.at("writes"));
        answer.reply(200, R"({"committed":true})");
    }

    json failed_conditions(json const& body) const
    {
        json failed = json::array();
        for (auto const& wanted : body.at("conditions"))
        {
            auto const found = rows_.find(wanted.at("key").get<std::string>());
            auto const& equals = wanted.at("equals");
            bool const holds =
                equals.is_null()
                    ? found == rows_.end()
                    : found != rows_.end() &&
                          found->second == equals.get<std::string>();
            if (!holds)
                failed.push_back(wanted.at("key"));
        }
        return failed;
    }

    void apply(json const& writes)
    {
        for (auto const& write : writes)
        {
            auto const key = write.at("key").get<std::string>();
            auto const& value = write.at("value");
            if (value.is_null())
                rows_.erase(key);
            else
                rows_[key] = value.get<std::string>();
        }
    }

    static std::int64_t body_bytes(json const& body)
    {
        std::int64_t bytes = 0;
        for (auto const& write : body.at("writes"))
        {
            if (write.at("value").is_string())
                bytes += std::int64_t(
                    write.at("value").get_ref<std::string const&>().size());
        }
        return bytes;
    }

    json read(json const& body)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        around_.book.count("reads");
        json rows = json::array();
        for (auto const& key : body.at("keys"))
        {
            auto const found = rows_.find(key.get<std::string>());
            if (found != rows_.end())
                add_row(rows, *found);
        }
        return {{"rows", rows}};
    }

    json scan(json const& body)
    {
        auto const prefix = body.at("prefix").get<std::string>();
        auto const after = body.value("after", std::string());
        auto const limit = std::min<std::size_t>(
            body.value("limit", max_scan_rows), max_scan_rows);
        std::lock_guard<std::mutex> lock(mutex_);
        around_.book.count("scans");
        json rows = json::array();
        auto at = after < prefix ? rows_.lower_bound(prefix)
                                 : rows_.upper_bound(after);
        auto const matches = [&]
        {
            return at != rows_.end() &&
                   at->first.compare(0, prefix.size(), prefix) == 0;
        };
        for (; matches() && rows.size() < limit; ++at)
            add_row(rows, *at);
        return {{"rows", rows}, {"more", matches()}};
    }

    void
    add_row(json& rows, std::pair<std::string const, std::string> const& row)
    {
        around_.book.count("rows_read");
        around_.book.count("bytes_read", std::int64_t(row.second.size()));
        rows.push_back({{"key", row.first}, {"value", row.second}});
    }

    surroundings& around_;
    std::mutex mutex_;
    std::map<std::string, std::string> rows_;
};

class objects_role : public role
{
public:
    explicit objects_role(surroundings& around) : around_(around) {}

    bool is_write(http_call const& call) const override
    {
        return call.method != "GET";
    }

    void handle(http_call const& call, responder const& answer) override
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (call.path == "/objects")
            return answer.reply(200, list(call.query_value("prefix")));
        if (call.path.compare(0, objects_path.size(), objects_path) != 0)
            return answer.reply(404, "{}");
        auto const key = call.path.substr(objects_path.size());
        if (call.method == "GET")
            return get(key, answer);
        around_.book.add(call.method, {{"key", key}});
        around_.book.count("writes");
        if (call.method == "PUT")
            objects_[key] = call.body;
        else
            objects_.erase(key);
        answer.reply(200, "{}");
    }

private:
    void get(std::string const& key, responder const& answer)
    {
        around_.book.count("reads");
        auto const found = objects_.find(key);
        if (found == objects_.end())
            return answer.reply(404, "{}");
        around_.book.count("bytes_read", std::int64_t(found->second.size()));
        answer.reply_bytes(found->second);
    }

    std::string list(std::string const& prefix) const
    {
        json keys = json::array();
        for (auto const& object : objects_)
        {
            if (object.first.compare(0, prefix.size(), prefix) == 0)
                keys.push_back(object.first);
        }
        return json{{"keys", keys}}.dump();
    }

    surroundings& around_;
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

// POST /vms sets the list; load_lag_ms delays what GET /vms shows of it.
class vms_role : public role
{
public:
    explicit vms_role(surroundings& around) : around_(around)
    {
        versions_.push_back({0, R"({"vms":[]})"});
    }

    bool is_write(http_call const& call) const override
    {
        return call.method == "POST";
    }

    void handle(http_call const& call, responder const& answer) override
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (call.path != "/vms")
            return answer.reply(404, "{}");
        if (call.method == "POST")
        {
            versions_.push_back({monotonic_us(), call.body});
            return answer.reply(200, "{}");
        }
        auto const horizon =
            monotonic_us() - around_.switches.now().load_lag_ms * 1'000;
        auto shown = versions_.rbegin();
        while (shown->at_us > horizon && std::next(shown) != versions_.rend())
            ++shown;
        answer.reply(200, shown->text);
    }

private:
    struct version
    {
        std::int64_t at_us = 0;
        std::string text;
    };

    surroundings& around_;
    std::mutex mutex_;
    std::deque<version> versions_;
};

} // namespace

std::unique_ptr<role> make_table(surroundings& around)
{
    return std::make_unique<table_role>(around);
}

std::unique_ptr<role> make_objects(surroundings& around)
{
    return std::make_unique<objects_role>(around);
}

std::unique_ptr<role> make_vms(surroundings& around)
{
    return std::make_unique<vms_role>(around);
}

} // namespace walnutmill::standin
