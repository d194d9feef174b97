#include "entry/version_register.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct version_register_fixture
{
    using register_ptr = std::unique_ptr<version_register>;

    manual_clock clock;
    fake_store store;
    version_register_options const options;
    service_name const llm{"llm"};
    int several_reported = 0;

    version_register_fixture()
    {
        clock.advance(seconds(1'000));
        store.set_clock(clock.fn());
    }

    register_ptr make_register(double random = 0)
    {
        version_register::hooks hooks;
        hooks.on_several_versions = [this](service_name const&)
        { ++several_reported; };
        return std::make_unique<version_register>(
            store.calls(), clock.fn(), [random] { return random; },
            std::move(hooks), options);
    }

    /// Tells the register the versions of the engines.
    void set_versions(
        version_register& one, std::vector<std::string> const& versions)
    {
        std::vector<engine_entry> engines;
        for (auto const& version : versions)
        {
            engine_entry entry;
            entry.id = target_name("e" + std::to_string(engines.size()));
            entry.service = llm;
            entry.version = version;
            engines.push_back(std::move(entry));
        }
        one.set_engines(engines);
        store.run();
    }

    void run_for(std::vector<version_register*> const& all, duration span)
    {
        constexpr milliseconds step{200};
        for (duration passed{0}; passed < span; passed += step)
        {
            clock.advance(step);
            for (auto* one : all)
            {
                one->tick();
                store.run();
            }
        }
    }

    std::optional<std::string> only_version(version_register& one)
    {
        std::optional<std::string> found;
        one.find_only_version(
            llm, [&found](std::optional<std::string> const& version)
            { found = version; });
        store.run();
        return found;
    }
};

} // namespace

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: streams begin at the first versions once they are "
    "registered")
{
    auto const one = make_register();
    CHECK_FALSE(one->may_begin(llm, "1.0"));
    CHECK(one->has_several(llm));
    CHECK_FALSE(only_version(*one));
    std::vector<engine_entry> engines(1);
    engines[0].service = llm;
    engines[0].version = "1.0";
    one->set_engines(engines);
    CHECK_FALSE(one->has_registered());
    CHECK_FALSE(one->may_begin(llm, "1.0"));
    store.run();
    CHECK(one->has_registered());
    CHECK(one->may_begin(llm, "1.0"));
    CHECK_FALSE(one->may_begin(llm, "1.1"));
    CHECK_FALSE(one->has_several(llm));
    CHECK(only_version(*one) == "1.0");
    // Only the first versions are awaited.
    store.set_down(true);
    set_versions(*one, {"2.0"});
    CHECK(one->has_registered());
    CHECK_FALSE(one->may_begin(llm, "2.0"));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: streams begin at a further version after its "
    "announcement")
{
    auto const one = make_register();
    auto const other = make_register();
    set_versions(*one, {"1.0"});
    set_versions(*other, {"1.0"});
    several_reported = 0;
    clock.advance(seconds(100));
    set_versions(*one, {"1.0", "1.1"});
    CHECK(several_reported == 1);
    CHECK(one->has_several(llm));
    CHECK_FALSE(one->may_begin(llm, "1.1"));
    CHECK(one->may_begin(llm, "1.0"));
    // Nobody has begun a stream there yet.
    CHECK(only_version(*other) == "1.0");
    run_for({one.get()}, options.announcement - milliseconds(200));
    CHECK_FALSE(one->may_begin(llm, "1.1"));
    CHECK_FALSE(only_version(*other));
    run_for({one.get()}, milliseconds(400));
    CHECK(one->may_begin(llm, "1.1"));
    // Once by each of the two registers.
    CHECK(several_reported == 2);
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: a node that starts again begins streams at once")
{
    auto const one = make_register();
    set_versions(*one, {"1.0"});
    set_versions(*one, {"1.0", "1.1"});
    auto const early = make_register();
    set_versions(*early, {"1.0", "1.1"});
    CHECK(early->may_begin(llm, "1.0"));
    CHECK_FALSE(early->may_begin(llm, "1.1"));
    clock.advance(options.late_transaction + options.announcement * 2);
    auto const late = make_register();
    set_versions(*late, {"1.0", "1.1"});
    CHECK(late->may_begin(llm, "1.1"));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: an announcement that takes effect late is awaited in "
    "full")
{
    auto const one = make_register();
    auto const other = make_register();
    set_versions(*one, {"1.0"});
    set_versions(*other, {"1.0"});
    // The read is the first step, the transaction the second.
    store.fail_step(store.steps() + 2, store_fault::late);
    set_versions(*one, {"1.0", "1.1"});
    clock.advance(options.announcement * 4);
    CHECK(only_version(*other) == "1.0");
    set_versions(*other, {"1.0", "1.1"});
    run_for({other.get()}, milliseconds(200));
    CHECK_FALSE(other->may_begin(llm, "1.1"));
    run_for({one.get(), other.get()}, options.announcement * 2);
    CHECK(one->may_begin(llm, "1.1"));
    CHECK(other->may_begin(llm, "1.1"));
    CHECK_FALSE(only_version(*one));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: two nodes that announce at the same time lose nothing")
{
    auto const one = make_register();
    auto const other = make_register();
    set_versions(*one, {"1.0"});
    set_versions(*other, {"1.0"});
    std::vector<engine_entry> engines(2);
    engines[0].service = engines[1].service = llm;
    engines[0].version = "1.0";
    engines[1].version = "1.1";
    one->set_engines(engines);
    engines[1].version = "1.2";
    other->set_engines(engines);
    store.run();
    run_for({one.get(), other.get()}, options.announcement * 3);
    auto const third = make_register();
    set_versions(*third, {"1.0"});
    CHECK_FALSE(only_version(*third));
    run_for({third.get()}, options.announcement * 2);
    for (auto const* version : {"1.0", "1.1", "1.2"})
        CHECK(third->may_begin(llm, version));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: a version without engines counts until its streams have "
    "ended")
{
    auto const one = make_register();
    set_versions(*one, {"1.0"});
    set_versions(*one, {"1.0", "1.1"});
    run_for({one.get()}, seconds(5));
    set_versions(*one, {"1.1"});
    CHECK_FALSE(only_version(*one));
    run_for({one.get()}, options.registration);
    CHECK_FALSE(only_version(*one));
    CHECK(one->has_several(llm));
    run_for(
        {one.get()},
        options.stream_lifetime + options.late_transaction + seconds(10));
    CHECK(only_version(*one) == "1.1");
    CHECK_FALSE(one->has_several(llm));
    // A version that returns is announced again.
    set_versions(*one, {"1.0", "1.1"});
    run_for({one.get()}, milliseconds(400));
    CHECK_FALSE(one->may_begin(llm, "1.0"));
    run_for({one.get()}, options.announcement);
    CHECK(one->may_begin(llm, "1.0"));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: one node renews the registration for all")
{
    constexpr std::size_t nodes = 20;
    constexpr std::size_t periods = 6;
    std::vector<register_ptr> owned;
    std::vector<version_register*> all;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        owned.push_back(
            make_register(static_cast<double>(i) / static_cast<double>(nodes)));
        all.push_back(owned.back().get());
        set_versions(*all.back(), {"1.0"});
    }
    auto const before = store.commits();
    auto const steps = store.steps();
    run_for(all, options.registration * static_cast<int>(periods));
    auto const writes = store.commits() - before;
    CHECK(writes <= 2 * periods);
    CHECK(store.steps() - steps <= 2 * periods * nodes + writes);
    CHECK(only_version(*all.front()) == "1.0");
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: without the store streams begin, and have to be known")
{
    auto const one = make_register();
    set_versions(*one, {"1.0"});
    store.set_down(true);
    CHECK_FALSE(
        [&]
        {
            clock.advance(options.read_max_age * 2);
            return only_version(*one);
        }());
    run_for({one.get()}, options.registration - seconds(5));
    CHECK_FALSE(one->has_several(llm));
    run_for({one.get()}, seconds(10));
    CHECK(one->may_begin(llm, "1.0"));
    CHECK(one->has_several(llm));
    set_versions(*one, {"1.0", "1.1"});
    run_for({one.get()}, seconds(10));
    CHECK_FALSE(one->may_begin(llm, "1.1"));
    store.set_down(false);
    run_for({one.get()}, seconds(3));
    CHECK(one->may_begin(llm, "1.1"));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: versions without end do not fill the row")
{
    auto const one = make_register();
    std::vector<std::string> versions;
    for (std::size_t i = 0; i < 2 * options.max_versions; ++i)
        versions.push_back("1." + std::to_string(1'000 + i));
    set_versions(*one, versions);
    CHECK(one->may_begin(llm, versions.front()));
    CHECK_FALSE(one->may_begin(llm, versions.back()));
    auto const steps = store.steps();
    run_for({one.get()}, seconds(10));
    CHECK(store.steps() == steps);
    CHECK_FALSE(only_version(*one));
}

TEST_CASE_METHOD(
    version_register_fixture,
    "version register: callers that ask at the same time share a read")
{
    auto const one = make_register();
    set_versions(*one, {"1.0"});
    clock.advance(options.read_max_age * 2);
    auto const steps = store.steps();
    int answers = 0;
    for (int i = 0; i < 100; ++i)
    {
        one->find_only_version(
            llm, [&answers](std::optional<std::string> const& version)
            { answers += version == "1.0" ? 1 : 0; });
    }
    store.run();
    CHECK(answers == 100);
    CHECK(store.steps() == steps + 1);
}

TEST_CASE("version register: encoded versions decode alike")
{
    std::vector<registered_version> const versions{
        {"1.0", milliseconds(-7), milliseconds(9)}, {"", {}, {}}};
    auto const bytes = encode(versions);
    auto const got = decode_registered_versions(bytes);
    REQUIRE(got);
    REQUIRE(got->size() == 2);
    CHECK(got->front().version == "1.0");
    CHECK(got->front().begins_at == milliseconds(-7));
    CHECK(got->front().ends_at == milliseconds(9));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decode_registered_versions(
            std::string_view(bytes).substr(0, size)));
}
