#include <walnutmill/membership.hpp>

#include "member_table.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using detail::beat;
using detail::beat_of;
using detail::encoded_bytes;
using detail::gossip_body;
using detail::member_entry;
using detail::member_key;
using detail::member_table;

/// A message asks for at most this many whole entries, so that an answer
/// stays small.
constexpr std::size_t max_wanted = 32;

/// Of a beat with counters of a few days and a moderate load.
constexpr std::size_t usual_beat_bytes = 24;

/// Takes bytes from the room. \return false when they do not fit.
bool fits(std::size_t bytes, std::size_t& room)
{
    if (bytes > room)
        return false;
    room -= bytes;
    return true;
}

/// Beats that changed go first, the least recently sent first among them.
bool goes_before(member_entry const* a, member_entry const* b)
{
    bool const a_changed = a->beats_left != 0;
    bool const b_changed = b->beats_left != 0;
    if (a_changed != b_changed)
        return a_changed;
    return a->sent_round < b->sent_round;
}

} // namespace

class membership::implementation
{
public:
    implementation(
        membership_options options, member_info const& self, random_fn random)
        : options_(options), random_(std::move(random)),
          own_address_(self.peer_address), head_(self.configuration),
          table_(self, options.forget_after)
    {
    }

    void merge(member_info const& info, time_point now)
    {
        head_ = std::max(head_, info.configuration);
        table_.merge(info, now);
    }

    std::vector<gossip_message> take_head(std::uint64_t version)
    {
        if (version <= head_)
            return {};
        head_ = version;
        return messages_to(draw_targets());
    }

    std::vector<gossip_message> tick(time_point now)
    {
        ++round_;
        table_.forget_old(now);
        auto targets = draw_targets();
        if (table_.size() < seeds_.size())
            targets.push_back(seeds_[draw(seeds_.size())]);
        return messages_to(targets);
    }

    std::vector<gossip_message> receive(std::string_view bytes, time_point now)
    {
        auto const body = detail::decode_gossip(bytes);
        if (!body)
            return {};
        for (auto const& session : body->fenced)
            table_.fence(session, now);
        auto messages = take_head(body->head);
        for (auto const& info : body->entries)
            merge(info, now);
        gossip_body answer;
        for (auto const& one : body->beats)
            if (!table_.merge(one, now) && answer.wanted.size() < max_wanted)
                answer.wanted.push_back(one.key);
        add_wanted_entries(body->wanted, answer);
        if (!answer.wanted.empty() || !answer.entries.empty())
            messages.push_back({body->sender, encode(answer)});
        return messages;
    }

    std::vector<session_id> stale(time_point now, duration lease) const
    {
        std::vector<session_id> made;
        for (auto const* entry : std::as_const(table_).live())
            if (!table_.is_self(*entry) && now - entry->changed >= lease)
                made.push_back(entry->info.session);
        return made;
    }

    membership_options options_;
    random_fn random_;
    std::string own_address_;
    std::uint64_t head_ = 0;
    std::uint64_t round_ = 0;
    member_table table_;
    std::vector<std::string> seeds_;
    /// What this node last told of itself, and when.
    beat told_;
    std::uint64_t told_round_ = 0;

private:
    std::size_t draw(std::size_t count) const
    {
        auto const drawn =
            static_cast<std::size_t>(random_() * static_cast<double>(count));
        return std::min(drawn, count - 1);
    }

    /// Draws distinct members, this node and fenced ones excepted.
    std::vector<std::string> draw_targets()
    {
        std::vector<std::string> drawn;
        for (auto const* entry : table_.live())
            if (!table_.is_self(*entry))
                drawn.push_back(entry->info.peer_address);
        auto const count = std::min(options_.fan_out, drawn.size());
        for (std::size_t i = 0; i < count; ++i)
            std::swap(drawn[i], drawn[i + draw(drawn.size() - i)]);
        drawn.resize(count);
        return drawn;
    }

    std::vector<gossip_message>
    messages_to(std::vector<std::string> const& targets)
    {
        std::vector<gossip_message> made;
        made.reserve(targets.size());
        for (auto const& address : targets)
            made.push_back({address, next_message()});
        return made;
    }

    std::string encode(gossip_body& body) const
    {
        body.sender = own_address_;
        body.head = head_;
        return detail::encode_gossip(body);
    }

    std::string next_message()
    {
        gossip_body body;
        auto const empty = detail::empty_message_bytes(own_address_);
        auto room = options_.max_message_bytes -
                    std::min(options_.max_message_bytes, empty);
        add_own_beat(body, room);
        add_fences(body, room);
        add_news(body, room);
        add_beats(body, room);
        return encode(body);
    }

    bool
    add_beat(member_entry& entry, gossip_body& body, std::size_t& room) const
    {
        auto const one = beat_of(entry.info);
        if (!fits(encoded_bytes(one, head_), room))
            return false;
        body.beats.push_back(one);
        entry.sent_round = round_;
        if (entry.beats_left != 0)
            --entry.beats_left;
        return true;
    }

    /// Were every advance of every counter told, messages would be full of
    /// beats that are old before they have spread. So a node tells of itself
    /// only as often as the others can pass it on.
    void add_own_beat(gossip_body& body, std::size_t& room)
    {
        auto const now = beat_of(table_.own().info);
        bool const due = round_ >= told_round_ + rounds_between_own_beats();
        bool const news = now.configuration != told_.configuration ||
                          now.leaving != told_.leaving;
        if (due || news)
        {
            told_ = now;
            told_round_ = round_;
        }
        if (fits(encoded_bytes(told_, head_), room))
            body.beats.push_back(told_);
    }

    std::uint64_t rounds_between_own_beats() const
    {
        auto const beats_per_message =
            options_.max_message_bytes / usual_beat_bytes;
        auto const room =
            std::max<std::size_t>(1, options_.fan_out * beats_per_message);
        return table_.size() * detail::beat_repeats / room;
    }

    void add_fences(gossip_body& body, std::size_t& room)
    {
        for (auto& [session, fence] : table_.fences())
        {
            if (fence.news_left == 0 || !fits(encoded_bytes(session), room))
                continue;
            --fence.news_left;
            body.fenced.push_back(session);
        }
    }

    void add_news(gossip_body& body, std::size_t& room)
    {
        // At most half of the message: beats must go on while many join.
        std::size_t half = room / 2;
        for (auto* const entry : table_.live())
        {
            auto const size = encoded_bytes(entry->info);
            if (entry->news_left == 0 || !fits(size, half))
                continue;
            --entry->news_left;
            room -= size;
            body.entries.push_back(entry->info);
        }
    }

    void add_beats(gossip_body& body, std::size_t& room)
    {
        auto order = table_.live();
        std::sort(order.begin(), order.end(), goes_before);
        for (auto* const entry : order)
            if (!table_.is_self(*entry) && !add_beat(*entry, body, room))
                return;
    }

    void add_wanted_entries(
        std::vector<member_key> const& wanted, gossip_body& answer) const
    {
        auto room = options_.max_answer_bytes;
        for (auto const key : wanted)
        {
            auto const* const info = table_.find(key);
            if (info != nullptr && fits(encoded_bytes(*info), room))
                answer.entries.push_back(*info);
        }
    }
};

membership::membership(
    membership_options options, member_info const& self, random_fn random)
    : impl_(std::make_unique<implementation>(options, self, std::move(random)))
{
}

membership::~membership() = default;

void membership::update_self(member_update const& update)
{
    impl_->table_.update_own(update);
    impl_->head_ = std::max(impl_->head_, update.configuration);
}

void membership::seed(std::vector<member_info> const& known, time_point now)
{
    for (auto const& one : known)
    {
        impl_->head_ = std::max(impl_->head_, one.configuration);
        impl_->table_.seed(one, now);
    }
}

void membership::seed_addresses(std::vector<std::string> addresses)
{
    impl_->seeds_ = std::move(addresses);
}

void membership::mark_fenced(session_id const& session, time_point now)
{
    impl_->table_.fence(session, now);
}

std::vector<gossip_message> membership::note_head(std::uint64_t version)
{
    return impl_->take_head(version);
}

std::vector<gossip_message> membership::tick(time_point now)
{
    return impl_->tick(now);
}

std::vector<gossip_message>
membership::receive(std::string_view bytes, time_point now)
{
    return impl_->receive(bytes, now);
}

std::vector<member_info> membership::members() const
{
    std::vector<member_info> made;
    for (auto const* entry : std::as_const(impl_->table_).live())
        made.push_back(entry->info);
    return made;
}

std::vector<session_id> membership::stale(time_point now, duration lease) const
{
    return impl_->stale(now, lease);
}

bool membership::is_fenced(session_id const& session) const
{
    return impl_->table_.is_fenced(session);
}

std::uint64_t membership::head_version() const
{
    return impl_->head_;
}

} // namespace walnutmill
