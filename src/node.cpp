#include "node.hpp"

#include <walnutmill/logging.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/peer_hub.hpp>

#include "access.hpp"
#include "caller_server.hpp"
#include "configuration_watch.hpp"
#include "direct_call.hpp"
#include "forwarding.hpp"
#include "journal_duty.hpp"
#include "load_duty.hpp"
#include "operator_backend.hpp"
#include "owner_duty.hpp"
#include "ownership_duty.hpp"
#include "platform_client.hpp"
#include "policy_scheduling.hpp"
#include "routing.hpp"
#include "scheduling.hpp"
#include "steward_duty.hpp"

#include <chrono>
#include <memory>
#include <random>
#include <thread>

namespace walnutmill
{
namespace
{

/// A request to the platform that takes longer is in doubt or failed.
constexpr std::chrono::seconds platform_timeout{5};
/// Well below the 9 s in which a change is in force everywhere.
constexpr std::chrono::seconds configuration_period{1};
/// Beats per lease: two may be lost before the session looks dead.
constexpr int beats_per_lease = 3;
/// How often each engine is asked for its load.
constexpr std::chrono::milliseconds load_period{500};
constexpr std::chrono::milliseconds poll_interval{20};
/// Some ten minutes of a busy node's decisions, about 200 bytes each.
constexpr std::size_t kept_decisions = 20'000;

/// Grows from one incarnation of a node to the next; only compared with
/// those of the same node.
std::uint64_t incarnation_now()
{
    return std::uint64_t(
        std::chrono::system_clock::now().time_since_epoch().count());
}

session_id new_session(node_name const& node)
{
    constexpr int incarnation_digits = 16;
    std::random_device source;
    auto const value = (static_cast<std::uint64_t>(source()) << 32) | source();
    char text[incarnation_digits + 1];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return session_id(node.str() + "." + text);
}

/// The parts of a node in the order in which they depend on each other.
class node
{
public:
    explicit node(serve_settings const& settings)
        : settings_(settings), clock_(monotonic_clock()),
          table_(make_table_client(settings.table_url, platform_timeout)),
          objects_(make_object_client(settings.object_url, platform_timeout)),
          store_(table_, objects_), decisions_(kept_decisions),
          hub_(
              {settings.peer_address, settings.peer_port, settings.peer_key,
               settings.peer_advertise})
    {
    }

    result<session_end> run(std::atomic<int> const& stop_signals)
    {
        auto const port = hub_start();
        if (!port)
            return port.error();
        if (!open_session(port.value(), stop_signals))
            return session_end::stopped;
        start_duties();
        auto const serving = start_server();
        if (!serving)
            return serving.error();
        write_log(
            severity::info, "node", "serving",
            {{"session", session_.id.str()}, {"http", session_.http_address}});
        while (stop_signals == 0 && !journal_->fenced())
            std::this_thread::sleep_for(poll_interval);
        auto const end =
            journal_->fenced() ? fenced() : planned_stop(stop_signals);
        tear_down();
        return end;
    }

private:
    result<std::uint16_t> hub_start()
    {
        hub_.on_request(
            "call",
            [this](std::string_view body, peer_responder const& responder)
            {
                if (auto* forward = forwarding_ptr_.load())
                    return forward->serve(body, responder);
                responder.reply(encode_reply({true, refusal{}}));
            });
        hub_.on_note(
            "shards",
            [this](std::string_view)
            {
                if (auto* duty = ownership_ptr_.load())
                    duty->poke();
            });
        hub_.on_note(
            std::string(gossip_topic),
            [this](std::string_view bytes)
            {
                if (auto* duty = gossip_ptr_.load())
                    duty->receive(bytes);
            });
        peer_questions::add_handlers(
            hub_, [this] { return questions_ptr_.load(); });
        return hub_.start();
    }

    /// Writes the session's row, however long the table is out of reach.
    bool
    open_session(std::uint16_t peer_port, std::atomic<int> const& stop_signals)
    {
        session_.id = new_session(settings_.node);
        session_.node = settings_.node;
        session_.zone = settings_.zone;
        session_.http_address =
            settings_.http_address + ":" + std::to_string(settings_.http_port);
        session_.peer_address =
            settings_.peer_advertise.empty()
                ? settings_.peer_address + ":" + std::to_string(peer_port)
                : settings_.peer_advertise;
        session_.transaction = "open";
        auto const key = session_key(session_.id);
        auto const value = encode_session(session_);
        transaction const open{
            session_.id.str() + "#open", {{key, std::nullopt}}, {{key, value}}};
        while (stop_signals == 0)
        {
            auto const answer = table_.commit(open);
            if (answer.status == commit_status::committed)
                return true;
            auto const row = table_.read({key});
            if (row && !row.value().empty())
                return true;
            std::this_thread::sleep_for(poll_interval);
        }
        return false;
    }

    void start_duties()
    {
        std::random_device seed;
        policy_ = std::make_unique<policy_scheduling>(seeded_random(seed()));
        scheduling_ = policy_->hooks();
        owner_duty_options owner_options;
        owner_options.shards = settings_.shards;
        owner_options.clock = clock_;
        owner_options.longest_pause = lease() / 2;
        owner_ = std::make_unique<owner_duty>(
            scheduling_, owner_options,
            owner_duty_hooks{[this](decision_effect const& effect)
                             { note_decision(effect); }},
            targets_, metrics_);
        journal_duty_options journal_options;
        journal_options.flush_interval = settings_.flush_interval;
        journal_options.beat_interval = lease() / beats_per_lease;
        journal_options.lease = lease();
        journal_options.clock = clock_;
        journal_ = std::make_unique<journal_duty>(
            table_, session_, journal_options,
            journal_duty_hooks{
                [this](std::vector<committed_append> done)
                { owner_->on_committed(std::move(done)); },
                [this] { on_fenced(); }},
            metrics_);
        owner_->start(*journal_);
        start_configuration();
        start_forwarding();
        start_gossip();
        start_operators();
    }

    void start_configuration()
    {
        configuration_watch_hooks hooks;
        hooks.read = [this]
        { return store_.read_newer(current_configuration()->version); };
        hooks.apply = [this](std::shared_ptr<configuration const> const& next)
        {
            owner_->set_configuration(next);
            owner_->post([this, next](program_owner&, time_point now)
                         { policy_->set_configuration(next, now); });
            journal_->set_configuration(next->version);
            acknowledge_first();
            if (auto* duty = gossip_ptr_.load())
                duty->note_head(next->version);
        };
        configuration_ = std::make_unique<configuration_watch>(
            configuration_period, std::move(hooks));
        configuration_ptr_ = configuration_.get();
        load_duty_hooks load_hooks;
        load_hooks.current = [this] { return current_configuration(); };
        load_hooks.report = [this](target_load const& load)
        { take_load(load); };
        loads_ = std::make_unique<load_duty>(load_period, load_hooks);
    }

    /// Serves only once its row says which version it has, so that a change
    /// made meanwhile waits for this node.
    void acknowledge_first()
    {
        if (acknowledged_)
            return;
        auto const status = journal_->exclusive({}).get();
        acknowledged_ = status == exclusive_status::committed;
    }

    void take_load(target_load const& load)
    {
        auto const nodes = serving_sessions(routes_.get()->sessions).size();
        owner_->post(
            [this, load, nodes](program_owner&, time_point now)
            {
                policy_->set_nodes(nodes);
                policy_->on_load(load, now);
            });
    }

    void start_forwarding()
    {
        forwarding_ = std::make_unique<forwarding>(
            forwarding_options{
                session_.id, settings_.shards, clock_, 2 * lease()},
            routes_, *owner_, hub_, metrics_);
        forwarding_ptr_ = forwarding_.get();
        direct_ = std::make_unique<direct_caller>(
            scheduling_, *owner_, targets_, clock_);
        ownership_duty_hooks hooks;
        hooks.notify = [this](std::string const& address)
        { hub_.note(address, "shards", {}); };
        ownership_ = std::make_unique<ownership_duty>(
            table_, objects_, *journal_, *owner_, routes_,
            ownership_duty_options{
                session_.id, settings_.node, settings_.shards, lease(), clock_},
            std::move(hooks), metrics_);
        ownership_ptr_ = ownership_.get();
    }

    void start_gossip()
    {
        member_info self;
        self.node = session_.node;
        self.session = session_.id;
        self.incarnation = incarnation_now();
        self.http_address = session_.http_address;
        self.peer_address = session_.peer_address;
        self.zone = session_.zone;
        gossip_duty_hooks hooks;
        hooks.send = [this](std::string const& address, std::string bytes)
        { hub_.note(address, gossip_topic, std::move(bytes)); };
        hooks.self = [this] { return own_update(); };
        hooks.known = [this] { return members_in_table(); };
        hooks.on_head = [this](std::uint64_t) { configuration_->poke(); };
        gossip_duty_options options;
        options.interval = settings_.gossip_interval;
        options.clock = clock_;
        options.random_seed = std::random_device()();
        gossip_ =
            std::make_unique<gossip_duty>(options, self, std::move(hooks));
        gossip_ptr_ = gossip_.get();
    }

    member_update own_update()
    {
        auto const figures = owner_->figures();
        member_update update;
        update.counter = journal_->counter();
        update.configuration = current_configuration()->version;
        update.load.queued = std::uint32_t(figures.calls - figures.in_flight);
        update.load.running = std::uint32_t(figures.in_flight);
        update.load.programs = std::uint32_t(figures.programs);
        update.leaving = stopping_;
        return update;
    }

    std::vector<member_info> members_in_table() const
    {
        std::vector<member_info> known;
        // Held here: the view may be replaced while it is read.
        auto const view = routes_.get();
        for (auto const& session : view->sessions)
        {
            if (session.fenced || session.id == session_.id)
                continue;
            member_info member;
            member.node = session.node;
            member.session = session.id;
            member.http_address = session.http_address;
            member.peer_address = session.peer_address;
            member.zone = session.zone;
            member.counter = session.counter;
            member.configuration = session.configuration;
            member.leaving = session.leaving;
            known.push_back(std::move(member));
        }
        return known;
    }

    void note_decision(decision_effect const& effect)
    {
        decision_entry entry;
        entry.at = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
        entry.node = settings_.node;
        entry.program = effect.program;
        entry.call = effect.number;
        entry.kind = effect.kind;
        entry.target = effect.target;
        entry.reason = effect.reason;
        decisions_.add(std::move(entry));
    }

    void start_operators()
    {
        questions_ = std::make_unique<peer_questions>(peer_questions::parts{
            settings_.node, session_.id, settings_.shards, hub_, *owner_,
            routes_, decisions_});
        questions_ptr_ = questions_.get();
        backend_ = std::make_unique<backend_parts>(backend_parts{
            session_.id, settings_.shards, clock_, table_, store_,
            [this] { return current_configuration(); },
            [this] { configuration_->poke(); }, routes_, *journal_,
            *forwarding_, *gossip_, *questions_,
            [this] { return stewards_->target_rows(); }});
        steward_options options;
        options.session = session_.id;
        options.node = settings_.node;
        options.clock = clock_;
        stewards_ = std::make_unique<steward_duty>(
            options, make_steward_hooks(*backend_), metrics_);
        desk_ = std::make_unique<operator_desk>(make_operate_hooks(*backend_));
    }

    result<void> start_server()
    {
        caller_server_hooks hooks;
        hooks.authorize = [this](std::string_view token)
        {
            static configuration const none;
            return authorize(
                acknowledged_ ? *current_configuration() : none, token);
        };
        hooks.submit = [this](caller_request request, answer_sink sink)
        { forwarding_->submit(std::move(request), std::move(sink)); };
        hooks.direct =
            [this](direct_request request, direct_caller::done_fn done)
        {
            direct_->call(
                current_configuration(), std::move(request), std::move(done));
        };
        hooks.operate = [this](operate_request const& asked)
        {
            return desk_->run(
                {asked.who.name, asked.who.workspace, asked.who.may_operate,
                 asked.text, asked.command_id, asked.dry_run, asked.json});
        };
        hooks.ready = [this] { return ready(); };
        hooks.metrics_text = [this] { return metrics_text(); };
        server_ = std::make_unique<caller_server>(
            caller_server_options{
                settings_.http_address, settings_.http_port,
                settings_.max_body_bytes},
            std::move(hooks), metrics_);
        return server_->start();
    }

    bool ready() const
    {
        return !stopping_ && ownership_->settled() && !journal_->fenced() &&
               current_configuration()->version > 0 && acknowledged_;
    }

    std::string metrics_text()
    {
        auto const figures = owner_->figures();
        metrics_.gauge("walnutmill_programs", double(figures.programs));
        metrics_.gauge("walnutmill_calls", double(figures.calls));
        metrics_.gauge("walnutmill_sends_in_flight", double(figures.in_flight));
        metrics_.gauge("walnutmill_shards_owned", double(ownership_->owned()));
        metrics_.gauge(
            "walnutmill_journal_backlog", double(journal_->backlog()));
        metrics_.gauge("walnutmill_peer_bytes_sent", double(hub_.bytes_sent()));
        metrics_.gauge(
            "walnutmill_configuration_version",
            double(current_configuration()->version));
        return metrics_.prometheus_text();
    }

    std::shared_ptr<configuration const> current_configuration() const
    {
        auto const* watch = configuration_ptr_.load();
        if (watch == nullptr)
            return std::make_shared<configuration>();
        return watch->current();
    }

    void on_fenced()
    {
        owner_->post([](program_owner& owner, time_point now)
                     { owner.fence(now); });
    }

    session_end fenced()
    {
        // Callers hear what became of their requests before the links go.
        auto const until = clock_() + lease();
        while (server_->in_flight() > 0 && clock_() < until)
            std::this_thread::sleep_for(poll_interval);
        return session_end::fenced;
    }

    session_end planned_stop(std::atomic<int> const& stop_signals)
    {
        write_log(severity::info, "node", "planned stop begins");
        stopping_ = true;
        journal_->set_leaving();
        owner_->post([](program_owner& owner, time_point)
                     { owner.stop_accepting(); });
        ownership_->leave();
        auto const until = clock_() + duration(settings_.stop_limit);
        for (;;)
        {
            if (handed_over() && server_->in_flight() == 0)
                break;
            if (clock_() > until || stop_signals > 1 || journal_->fenced())
                return cut_off();
            std::this_thread::sleep_for(poll_interval);
        }
        close_session();
        write_log(severity::info, "node", "planned stop ends, nothing cut");
        return session_end::stopped;
    }

    /// Whether this node owes nobody anything: its shards went to others, or
    /// nobody is left to take them and nothing is under way.
    bool handed_over()
    {
        if (ownership_->owned() == 0)
            return true;
        if (!serving_sessions(routes_.get()->sessions).empty())
            return false;
        return owner_->ask([](program_owner& owner)
                           { return owner.figures().calls == 0; }) &&
               journal_->backlog() == 0;
    }

    session_end cut_off()
    {
        auto const figures = owner_->figures();
        write_log(
            severity::error, "node", "stopping with work under way",
            {{"calls", std::to_string(figures.calls)},
             {"requests", std::to_string(server_->in_flight())},
             {"shards", std::to_string(ownership_->owned())}});
        return session_end::stop_limit;
    }

    /// Fences the own session, so that nobody has to wait for its lease.
    void close_session() const
    {
        auto const key = session_key(session_.id);
        auto const row = table_.read({key});
        if (!row || row.value().empty())
            return;
        auto const now = decode_session(row.value().front().value);
        if (!now)
            return;
        auto fenced = now.value();
        fenced.fenced = true;
        static_cast<void>(table_.commit(
            {session_.id.str() + "#close",
             {{key, row.value().front().value}},
             {{key, encode_session(fenced)}}}));
    }

    void tear_down()
    {
        server_.reset();
        stewards_.reset();
        gossip_ptr_ = nullptr;
        questions_ptr_ = nullptr;
        gossip_.reset();
        ownership_ptr_ = nullptr;
        ownership_.reset();
        forwarding_ptr_ = nullptr;
        loads_.reset();
        configuration_ptr_ = nullptr;
        configuration_.reset();
        owner_->stop();
        journal_.reset();
    }

    duration lease() const { return settings_.lease; }

    serve_settings settings_;
    clock_fn clock_;
    metrics metrics_;
    table_service table_;
    object_store objects_;
    config_store store_;
    decision_log decisions_;
    session_state session_;
    routing routes_;
    target_client targets_;
    std::unique_ptr<policy_scheduling> policy_;
    scheduling_hooks scheduling_;
    std::unique_ptr<owner_duty> owner_;
    std::unique_ptr<journal_duty> journal_;
    std::unique_ptr<configuration_watch> configuration_;
    std::atomic<configuration_watch const*> configuration_ptr_{nullptr};
    std::unique_ptr<load_duty> loads_;
    std::unique_ptr<direct_caller> direct_;
    std::unique_ptr<forwarding> forwarding_;
    std::atomic<forwarding*> forwarding_ptr_{nullptr};
    std::unique_ptr<ownership_duty> ownership_;
    std::atomic<ownership_duty*> ownership_ptr_{nullptr};
    std::unique_ptr<gossip_duty> gossip_;
    std::atomic<gossip_duty*> gossip_ptr_{nullptr};
    std::unique_ptr<peer_questions> questions_;
    std::atomic<peer_questions*> questions_ptr_{nullptr};
    std::unique_ptr<backend_parts> backend_;
    std::unique_ptr<steward_duty> stewards_;
    std::unique_ptr<operator_desk> desk_;
    std::unique_ptr<caller_server> server_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> acknowledged_{false};
    peer_hub hub_;
};

} // namespace

result<session_end> run_session(
    serve_settings const& settings, std::atomic<int> const& stop_signals)
{
    node one(settings);
    return one.run(stop_signals);
}

} // namespace walnutmill
