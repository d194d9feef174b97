#ifndef WALNUTMILL_SRC_ENTRY_CRASH_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_CRASH_EXCHANGE_HPP

/// \file
/// Shares the requests under which engines ended with all other nodes.
///
/// Load pattern: a caller's next attempt arrives at another node a few
/// milliseconds after its engine has ended. Engines end rarely and calls arrive
/// all the time, so each change is sent to all nodes, and a call is checked
/// against this node's record alone. Looking each call up at a coordinator
/// would cost a round trip for every call instead.
///
/// Datagrams get lost and nodes are cut off, so each change is sent three
/// times, a node that receives less than it knows answers with the rest, each
/// node sends some of its records to a random one every second,
/// and a node that meets its first peers asks them for all they know and sends
/// them what it recorded alone. From then on they send it their changes, though
/// they may not have read that it is a member.
///
/// A node that has started, has stood still or is cut off does not know what
/// others recorded, and datagrams get lost. So a request under which an engine
/// has ended is sent only after another node has told what it knows of it,
/// which takes a round trip. Calls without a crash wait for nothing.
///
/// A sound engine may fall silent for a second and go on, so a run given up at
/// a silent engine counts as a crash only once the engine is known to have
/// ended or has been silent for longer than that. Until then it counts towards
/// the number of engines that have the request.

#include <walnutmill/crash_record.hpp>
#include <walnutmill/random.hpp>

#include "entry/cluster_section.hpp"
#include "entry/crash_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace walnutmill
{

struct crash_exchange_options
{
    crash_record_options record;
    /// Changes within this time of the former message share the next one, so
    /// that the loss of many engines takes few messages.
    std::chrono::milliseconds collect_time{5};
    /// Delays after which a change is sent again.
    std::chrono::milliseconds first_resend{50};
    std::chrono::milliseconds second_resend{500};
    /// Interval of sending some records to a random node.
    std::chrono::milliseconds repair_interval{1'000};
    /// Nodes asked for all they know by a node that starts, and nodes that on
    /// average tell another one what it does not know.
    std::size_t queried = 3;
    /// Time from knowing the members after which a node that has started counts
    /// as informed if none of them has answered: they may have started with it.
    duration start_patience = std::chrono::milliseconds(1'500);
    /// Time after which a call goes on if no node has answered.
    duration answer_patience = std::chrono::seconds(2);
    /// Time for which an answer holds.
    duration answer_lifetime = std::chrono::milliseconds(200);
    /// Time without tick() after which a node has stood still for so long that
    /// its socket may not have kept what others told it. Queries are read after
    /// the records that came before them.
    duration standstill = std::chrono::seconds(2);
    /// Maximum number of calls that wait for an answer.
    std::size_t max_waiting = 1'024;
    /// Time for which a node that is no member still gets messages after it
    /// left or sent one.
    duration recent_peer_lifetime = std::chrono::seconds(60);
    std::size_t max_recent_peers = 1'024;
    /// Size from which a message is full, below that of a packet.
    std::size_t message_bytes = 1'100;
    /// Maximum number of messages that answer a query.
    std::size_t max_answers = 64;
    /// Runs that were given up: for this time they count if the engine is found
    /// to have ended. The entry of an engine lapses within 5 s of its end.
    duration abandoned_lifetime = std::chrono::seconds(10);
    /// Silence after which an engine counts as ended: twice the longest pause
    /// of a sound engine.
    duration longest_silence = std::chrono::seconds(4);
    std::size_t max_abandoned = 1'024;
    /// A request that was answered at this node counts as harmless for one to
    /// two times this, so that chance does not quarantine a popular one.
    duration answer_memory = std::chrono::seconds(5);
    /// Maximum number of answered requests remembered in that time.
    std::size_t max_answered = 8'192;
};

/// One send of a call to an engine.
struct request_run
{
    request_digest request;
    request_label label;
    run_id id;
    engine_ref engine;
    time_point began;
};

/// What became of an engine at which a run was given up.
enum class run_decision
{
    /// The engine went on.
    engine_went_on,
    /// Its connection was refused, its entry has gone or was replaced.
    engine_ended,
    /// It was silent for longer than a sound engine.
    silent_too_long,
    /// Nothing was heard of it, and nothing asked, in time.
    unknown
};

class crash_exchange
{
public:
    struct hooks
    {
        /// Sends a datagram to IP:PORT; delivery is not guaranteed.
        std::function<void(std::string const& address, std::string bytes)> send;
        /// Runs the function after the given delay.
        std::function<void(duration after, std::function<void()>)>
            schedule_after;
        /// A request reached the limit of crashes at this node; may be null.
        std::function<void(request_digest, suspect_request const&)>
            on_quarantined;
        /// It is known what became of the engine of a run that was given up
        /// there; may be null.
        std::function<void(request_run const&, run_decision)> on_decided{};
    };

    crash_exchange(
        clock_fn clock, random_fn random, hooks callbacks,
        crash_exchange_options options = {});
    ~crash_exchange();
    crash_exchange(crash_exchange const&) = delete;
    crash_exchange& operator=(crash_exchange const&) = delete;

    /// \param others all members except this node
    void set_nodes(std::vector<entry_member> const& others);

    crash_record const& record() const { return record_; }
    /// \return whether a request may be sent. One that was answered at this
    /// node lately is not held up by runs that others have not reported on.
    send_verdict verdict(request_digest request) const;
    /// Asks other nodes for what they know of a request and calls back once one
    /// has answered, or answer_patience is over.
    /// \return false if too many calls wait already
    bool await_records(request_digest request, std::function<void()> then);
    /// \return true if others may know of crashes that this node, which has
    /// started or stood still, has not been told of
    bool may_lack_records() const;

    /// Announces a run of a suspect request before it is sent.
    void run_began(request_run const& run);
    /// \return true if another node has to be asked before the request is sent
    /// once more
    bool lacks_confirmation(request_digest request) const
    {
        return !was_answered(request) && !is_confirmed(request);
    }
    /// \return true if a silent engine may be left for another one, which
    /// then has the request, too
    bool may_leave(request_digest request, engine_ref const& engine) const;
    /// Records that a run was given up at a silent engine. It counts once the
    /// engine is found to have ended.
    /// \param heard_at when the engine last sent or took bytes
    void run_fell_silent(request_run const& run, time_point heard_at);
    /// Takes back all undecided runs, as this node will learn nothing more of
    /// their engines.
    void forget_silent_runs();
    /// Records that the engine sent bytes of an answer, to any call.
    void engine_sent_bytes(engine_ref const& engine)
    {
        if (!silent_.empty())
            engine_went_on(engine);
    }
    /// Records that a run broke off.
    void run_interrupted(request_run const& run)
    {
        run_interrupted(run, clock_());
    }
    void run_interrupted(request_run const& run, time_point ended);
    /// Records that a run was given up while its engine seemed well.
    void run_abandoned(request_run const& run);
    /// Records that a run did not happen or ended without harm to its engine.
    void run_survived(request_run const& run);
    /// Records that an engine answered the request completely.
    void run_answered(request_digest request);
    /// Records that an engine responded to a call sent at that time.
    void engine_responded(engine_ref const& engine, time_point sent_at);
    /// Records that an engine is known to have ended.
    void engine_ended(engine_ref const& engine);
    /// Lets a request be sent again. \return false if it is not known
    bool release(request_digest request);

    /// Does the periodic work; to be called a few times per second.
    void tick();
    /// Processes a received datagram.
    /// \param sender its IP:PORT
    /// \param reply sends a datagram to its sender
    /// \return false if the datagram is not a message of this protocol
    bool handle(
        std::string_view bytes, std::string const& sender,
        std::function<void(std::string)> const& reply);

private:
    void changed(request_digest request);
    void send_changes();
    void schedule_resend(
        std::vector<request_digest> const& requests, duration after);
    void broadcast(std::vector<request_digest> const& requests);
    std::vector<std::string>
    messages_of(std::vector<request_digest> const& requests) const;
    std::vector<request_digest> all_requests() const;
    void ask_for_records();
    void ask_about(request_digest request);
    void send_to_some(std::string const& bytes);
    bool is_confirmed(request_digest request) const;
    void resume_waiting();
    void answer_query(
        crash_message const& query,
        std::function<void(std::string)> const& reply);
    void answer_received(crash_message const& answer);
    void send_some_records();
    struct silent_run
    {
        request_run run;
        time_point heard_at;
        time_point given_up_at;
    };

    void engine_went_on(engine_ref const& engine);
    void decide_silent_runs(engine_ref const& engine, run_decision what);
    void decide(silent_run const& one, run_decision what);
    void expire_silent_runs();
    bool was_answered(request_digest request) const;
    bool clear_if_answered(request_digest request);
    void report_quarantine(request_digest request, bool was_quarantined);

    clock_fn clock_;
    random_fn random_;
    hooks hooks_;
    crash_exchange_options options_;
    crash_record record_;
    /// Addresses of the other members.
    std::vector<std::string> peers_;
    /// Those of nodes that are no members, with the time at which they left or
    /// last sent a message. A node serves before the others have read its row,
    /// and one that stood still before it is a member again.
    std::unordered_map<std::string, time_point> recent_peers_;
    /// Requests whose change has not been sent yet.
    std::unordered_set<request_digest> unsent_;
    bool sending_is_scheduled_ = false;
    /// A member that lacks no records has told all of its own since this node
    /// started or stood still.
    bool is_informed_ = false;
    std::optional<time_point> members_known_at_;
    time_point last_tick_at_;
    struct waiting_call
    {
        request_digest request;
        time_point since;
        std::function<void()> then;
    };
    std::vector<waiting_call> waiting_;
    /// When another node last told all that it knows of a request.
    std::unordered_map<request_digest, time_point> confirmed_at_;
    time_point last_sent_at_{};
    time_point last_repair_at_{};
    /// Engines that count as ended in some run until they respond.
    std::unordered_set<std::string> suspected_engines_;
    std::deque<std::pair<request_run, time_point>> abandoned_;
    /// Runs given up at silent engines that are not known to have ended, the
    /// oldest first.
    std::deque<silent_run> silent_;
    /// Requests answered lately, and those of the time before.
    std::unordered_set<request_digest> answered_;
    std::unordered_set<request_digest> answered_before_;
    time_point answers_rotated_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif
