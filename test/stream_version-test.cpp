#include "entry_world.hpp"
#include "store_relay.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <set>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

constexpr int last_event = 5;
constexpr int streams = 12;

/// Four engines, two of each software version. Those of one version don't go
/// on with what the other one began; nothing on the wire tells so.
struct stream_version_fixture : entry_world
{
    enum class ending
    {
        complete,
        /// The connection ends.
        cut,
        /// Nothing more is sent.
        silent
    };

    standin_target engine_c{"ic"};
    standin_target engine_d{"id"};

    stream_version_fixture()
    {
        register_engine(engine_a, "llm", "1.0");
        register_engine(engine_b, "llm", "1.1");
        register_engine(engine_c, "llm", "1.0");
        register_engine(engine_d, "llm", "1.1");
        for (auto* engine : {&engine_a, &engine_c})
            serve(*engine, "1.0");
        for (auto* engine : {&engine_b, &engine_d})
            serve(*engine, "1.1");
    }

    void serve(standin_target& engine, std::string const& version)
    {
        engine.set_handler(
            [this, version](link_ptr const& link, http_request const& request)
            {
                answer(link, request, version);
                return true;
            });
    }

    void answer(
        link_ptr const& link, http_request const& request,
        std::string const& version)
    {
        std::string const id(request["Request-Id"]);
        std::string const resumed(request["Resumes"]);
        std::string const after(request["Last-Event-Id"]);
        auto const first = after.empty() ? 1 : std::stoi(after) + 1;
        auto const end = first == 1 ? first_run.load() : ending::complete;
        {
            std::lock_guard<std::mutex> const lock(mutex);
            versions[resumed.empty() ? id : resumed].insert(version);
            resumptions += first == 1 ? 0 : 1;
        }
        auto const whole = end == ending::complete;
        link->write(standin_target::stream(
            id, first, whole ? last_event : first + 1, whole));
        if (whole)
            link->finish_answer();
        else if (end == ending::cut)
            standin_target::cut(link);
    }

    /// Sends a turn and gives it up after two events.
    void begin_and_leave(node const& at, std::string const& id)
    {
        test_caller caller(at.settings.listen_callers);
        caller.send(turn(id));
        REQUIRE_THAT(
            caller.receive_until("piece 2"), Catch::Contains("piece 2"));
        caller.close();
    }

    static caller_answer resume(
        node const& at, std::string const& id, std::string const& header,
        std::string const& prefix = "/turns/")
    {
        test_caller caller(at.settings.listen_callers);
        return caller.call(turn(id, "Last-Event-Id: 2\r\n" + header, prefix));
    }

    static std::string name_of(int number)
    {
        return "s" + std::to_string(number);
    }

    void begin_streams(node const& at)
    {
        for (int i = 0; i < streams; ++i)
            begin_and_leave(at, name_of(i));
    }

    /// \return the number of streams that the node goes on with
    int resume_streams(node const& at) const
    {
        int resumed = 0;
        for (int i = 0; i < streams; ++i)
        {
            auto const got = resume(
                at, name_of(i) + "-again", "Resumes: " + name_of(i) + "\r\n");
            resumed += got.status == 200 && got.whole ? 1 : 0;
        }
        return resumed;
    }

    /// \return the number of streams with runs at engines of two versions
    int mixed_streams()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        return static_cast<int>(std::count_if(
            versions.begin(), versions.end(),
            [](auto const& one) { return one.second.size() > 1; }));
    }

    int resumptions_at_engines()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        return resumptions;
    }

    std::atomic<ending> first_run{ending::silent};
    std::mutex mutex;
    /// Versions that ran a stream, by the attempt that began it.
    std::map<std::string, std::set<std::string>> versions;
    int resumptions = 0;
};

} // namespace

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream that its engine breaks off goes on at its "
    "version")
{
    first_run = ending::cut;
    auto& node = start_node();
    for (int i = 0; i < streams; ++i)
    {
        test_caller caller(node.settings.listen_callers);
        CHECK(caller.call(turn(name_of(i))).whole);
    }
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream whose engine stalls goes on at its version")
{
    min_stall_timeout = milliseconds(200);
    auto& node = start_node();
    for (int i = 0; i < streams; ++i)
    {
        test_caller caller(node.settings.listen_callers);
        caller.call(turn(name_of(i)));
    }
    CHECK(resumptions_at_engines() > 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream whose version refuses it does not go on at "
    "another version")
{
    first_run = ending::cut;
    std::atomic<int> refusals{0};
    auto const refuse = [&refusals](link_ptr const& link)
    {
        ++refusals;
        link->write(standin_target::answer(503, "Not-Executed: 1\r\n", ""));
        link->finish_answer();
    };
    // Streams begin at one version only, which then refuses them.
    for (auto* engine : {&engine_a, &engine_b, &engine_c, &engine_d})
    {
        auto const begins = engine == &engine_a || engine == &engine_c;
        engine->set_handler(
            [&, begins](link_ptr const& link, http_request const& request)
            {
                if (begins == request["Last-Event-Id"].empty())
                    answer(link, request, begins ? "1.0" : "1.1");
                else
                    refuse(link);
                return true;
            });
    }
    auto& node = start_node();
    for (int i = 0; i < streams; ++i)
    {
        test_caller caller(node.settings.listen_callers);
        caller.call(turn(name_of(i)));
    }
    CHECK(refusals > 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream without another engine of its version is cut, "
    "not finished elsewhere")
{
    store.remove("servers", "ib");
    store.remove("servers", "ic");
    store.remove("servers", "id");
    first_run = ending::cut;
    auto& node = start_node();
    engine_a.set_handler(
        [this](link_ptr const& link, http_request const& request)
        {
            store.remove("servers", "ia");
            register_engine(engine_b, "llm", "1.1");
            // Longer than the node takes to notice.
            engine_a.server().later(
                milliseconds(2'000),
                [this, link, request] { answer(link, request, "1.0"); });
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("s1"));
    CHECK(got.status == 200);
    CHECK_FALSE(got.whole);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a caller's next attempt at the same node goes on at the "
    "version")
{
    auto& node = start_node();
    begin_streams(node);
    CHECK(resume_streams(node) == streams);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a caller's next attempt at another node goes on at the "
    "version")
{
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    REQUIRE(eventually([&] { return knows_members(second, 1); }));
    begin_streams(first);
    CHECK(resume_streams(second) == streams);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream outlives the node that began it")
{
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    begin_streams(first);
    stop_node(first);
    CHECK(resume_streams(second) == streams);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream goes on at its version while the store is away")
{
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    begin_streams(first);
    stop_node(first);
    store.set_down(true);
    CHECK(resume_streams(second) == streams);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream that no node knows any more is refused as not "
    "run")
{
    auto& first = start_node();
    begin_streams(first);
    stop_node(first);
    auto& second = start_node();
    for (int i = 0; i < streams; ++i)
    {
        auto const got = resume(
            second, name_of(i) + "-again", "Resumes: " + name_of(i) + "\r\n");
        CHECK(got.status == 503);
    }
    CHECK(resumptions_at_engines() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: an attempt that names no stream is refused while several "
    "versions serve")
{
    auto& node = start_node();
    CHECK(resume(node, "r1", "").status == 503);
    CHECK(resume(node, "r2", "Resumes: \r\n").status == 503);
    CHECK(resume(node, "r3", "Resumes: made up\r\n").status == 503);
    CHECK(resumptions_at_engines() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: an attempt that names no stream goes on while one "
    "version serves")
{
    store.remove("servers", "ib");
    store.remove("servers", "id");
    auto& node = start_node();
    CHECK(resume(node, "r1", "").whole);
    CHECK(resume(node, "r2", "Resumes: unknown\r\n").whole);
    CHECK(resumptions_at_engines() == 2);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream begun while one version served goes on at it "
    "after another was added")
{
    store.remove("servers", "ib");
    store.remove("servers", "id");
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    begin_streams(first);
    register_engine(engine_b, "llm", "1.1");
    register_engine(engine_d, "llm", "1.1");
    int number = 0;
    REQUIRE(eventually(
        [&]
        {
            begin_and_leave(second, "probe" + std::to_string(++number));
            return !engine_b.calls().empty();
        }));
    stop_node(first);
    CHECK(resume_streams(second) == streams);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stream whose version has no engine left is refused at "
    "once")
{
    auto& node = start_node();
    begin_streams(node);
    store.remove("servers", "ia");
    store.remove("servers", "ic");
    REQUIRE(eventually([&] { return knows_engines(node, 4); }));
    auto const began = std::chrono::steady_clock::now();
    resume_streams(node);
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(1'500));
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    stream_version_fixture,
    "stream version: a stored turn is not resumed without its first events")
{
    auto configured = configuration();
    for (auto& one : configured["routes"])
    {
        if (one["name"] == "kept")
            one["resumable"] = true;
    }
    store.put("op", "config", configured);
    store.remove("servers", "ib");
    store.remove("servers", "id");
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("s1", {}, "/kept/"));
    REQUIRE_THAT(caller.receive_until("piece 2"), Catch::Contains("piece 2"));
    caller.close();
    CHECK(resume(node, "s1-again", "Resumes: s1\r\n", "/kept/").status == 503);
    CHECK(resumptions_at_engines() == 0);
}

namespace
{

constexpr char const* members_table = "walnutmill-nodes";
constexpr char const* engines_table = "servers";
constexpr char const* versions_table = "walnutmill-versions";

/// Two engines of each version, of which only those of the first have joined,
/// a node in step and one that knows no other nodes.
struct release_fixture : stream_version_fixture
{
    store_relay relay{store};
    node* in_step = nullptr;
    node* out_of_step = nullptr;
    /// Id under which engine B runs; it answers 421 to calls meant for another.
    std::mutex id_mutex;
    std::string id_of_b = "ib";

    release_fixture()
    {
        remove_new_version();
        in_step = &start_node();
        relay.silence({members_table});
        store_address = relay.address();
        out_of_step = &start_node();
        for (auto* engine : {&engine_a, &engine_b, &engine_c, &engine_d})
        {
            auto const version =
                engine == &engine_a || engine == &engine_c ? "1.0" : "1.1";
            engine->set_handler(
                [this, engine,
                 version](link_ptr const& link, http_request const& request)
                {
                    if (request["Expect-Instance"] != current_id(*engine))
                        misdirect(link);
                    else
                        answer(link, request, version);
                    return true;
                });
        }
    }

    std::string current_id(standin_target const& engine)
    {
        std::lock_guard<std::mutex> const lock(id_mutex);
        return &engine == &engine_b ? id_of_b : engine.id();
    }

    static void misdirect(link_ptr const& link)
    {
        constexpr int status_misdirected = 421;
        link->write(standin_target::answer(
            status_misdirected, "Not-Executed: 1\r\n", ""));
        link->finish_answer();
    }

    void remove_new_version()
    {
        store.remove(engines_table, "ib");
        store.remove(engines_table, "id");
    }

    void remove_old_version()
    {
        store.remove(engines_table, "ia");
        store.remove(engines_table, "ic");
    }

    void join_new_version()
    {
        register_engine(engine_b, "llm", "1.1");
        register_engine(engine_d, "llm", "1.1");
    }

    /// Begins streams at the node in step until engine D has run one, and then
    /// those of a series.
    void begin_at_new_version(std::string const& series)
    {
        int number = 0;
        REQUIRE(eventually(
            [&]
            {
                begin_and_leave(
                    *in_step, series + "-probe" + std::to_string(++number));
                return !engine_d.calls().empty();
            }));
        begin_series(series);
    }

    void begin_series(std::string const& series)
    {
        for (int i = 0; i < streams; ++i)
            begin_and_leave(*in_step, series + name_of(i));
    }

    /// \return the number of streams that the node out of step goes on with
    int resume_series(std::string const& series) const
    {
        int resumed = 0;
        for (int i = 0; i < streams; ++i)
        {
            auto const id = series + name_of(i);
            auto const got =
                resume(*out_of_step, id + "-again", "Resumes: " + id + "\r\n");
            resumed += got.status == 200 && got.whole ? 1 : 0;
        }
        return resumed;
    }
};

} // namespace

TEST_CASE_METHOD(
    release_fixture,
    "release: a node cut off from the others refuses streams begun in a "
    "release, and takes up those begun before")
{
    begin_series("before");
    CHECK(resume_series("before") == streams);
    join_new_version();
    begin_at_new_version("amid");
    CHECK(resume_series("amid") == 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    release_fixture,
    "release: a node whose list of engines is old joins no two versions")
{
    relay.silence({members_table, engines_table});
    join_new_version();
    begin_at_new_version("amid");
    CHECK(resume_series("amid") == 0);
    // The old version's engines leave.
    remove_old_version();
    REQUIRE(eventually([&] { return knows_engines(*in_step, 4); }));
    begin_series("after");
    CHECK(resume_series("after") == 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    release_fixture,
    "release: a node without the store joins no two versions, also when it is "
    "back")
{
    relay.silence(
        {members_table, engines_table, versions_table, "op", "table="});
    join_new_version();
    begin_at_new_version("amid");
    CHECK(resume_series("amid") == 0);
    relay.silence({members_table});
    CHECK(resume_series("amid") == 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    release_fixture,
    "release: an engine that comes back at its address under another id is not "
    "taken for its former version")
{
    // Engine B serves the old version at first.
    engine_b.set_handler(
        [this](link_ptr const& link, http_request const& request)
        {
            auto const id = current_id(engine_b);
            if (request["Expect-Instance"] != id)
                misdirect(link);
            else
                answer(link, request, id == "ib" ? "1.0" : "1.1");
            return true;
        });
    register_engine(engine_b, "llm", "1.0");
    REQUIRE(eventually([&] { return knows_engines(*out_of_step, 5); }));
    remove_old_version();
    REQUIRE(eventually([&] { return knows_engines(*out_of_step, 3); }));
    begin_series("before");
    relay.silence({members_table, engines_table});
    {
        std::lock_guard<std::mutex> const lock(id_mutex);
        id_of_b = "ib2";
    }
    CHECK(resume_series("before") == 0);
    CHECK(mixed_streams() == 0);
}

TEST_CASE_METHOD(
    release_fixture,
    "release: a node whose configuration is old infers no version for a route "
    "that may have moved")
{
    auto const is_split = GENERATE(false, true);
    INFO(is_split);
    begin_series("before");
    relay.silence({members_table, "op"});
    register_engine(engine_b, "llm2", "1.1");
    register_engine(engine_d, "llm2", "1.1");
    auto configured = configuration();
    configured["version"] = 4;
    auto service = configured["services"][0];
    service["name"] = "llm2";
    configured["services"].push_back(service);
    auto& route = configured["routes"][0];
    if (is_split)
    {
        route.erase("service");
        route["split"] = {
            {{"service", "llm"}, {"weight", 1}},
            {{"service", "llm2"}, {"weight", 1}}};
    }
    else
        route["service"] = "llm2";
    store.put("op", "config", configured);
    int number = 0;
    // New streams are refused until the new service is registered.
    REQUIRE(eventually(
        [&]
        {
            test_caller caller(in_step->settings.listen_callers);
            caller.send(turn("probe" + std::to_string(++number)));
            caller.receive_until("\r\n\r\n");
            return !engine_d.calls().empty();
        }));
    begin_series("amid");
    // Without a current configuration the node does not deny an unknown path.
    REQUIRE(eventually(
        [&]
        {
            test_caller caller(out_of_step->settings.listen_callers);
            auto const id = "unknown" + std::to_string(++number);
            return caller.call(turn(id, {}, "/unknown/")).status == 503;
        }));
    CHECK(resume_series("amid") == 0);
    CHECK(mixed_streams() == 0);
    relay.silence({members_table});
}
