#include "membership/gossip_node.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <functional>

namespace kumquatgap::membership
{

namespace
{

/// A digest names this many live watchers.
constexpr std::size_t max_reported_watchers = 3;

} // namespace

gossip_node::gossip_node(peer self, gossip_options options, std::uint64_t seed)
    : m_self{std::move(self)}, m_options{options}, m_random{seed}, m_read_backoff{
                                                                       options.initial_read_backoff}
{
    m_takeover_order.push_back(m_self.name);
}

void gossip_node::set_peers(const std::vector<peer>& peers)
{
    m_peers.clear();
    m_takeover_order = {m_self.name};
    for (const auto& it : peers)
    {
        if (it.name == m_self.name)
            continue;
        m_peers.push_back(it);
        m_takeover_order.push_back(it.name);
    }
    std::ranges::sort(m_takeover_order, {},
                      [](const std::string& name) { return common::hash64(name); });
    const auto is_unknown = [this](const auto& it)
    { return std::ranges::find(m_takeover_order, it.first) == m_takeover_order.end(); };
    std::erase_if(m_peer_positions, is_unknown);
    std::erase_if(m_last_sent, is_unknown);
    std::erase_if(m_unanswered, [this](const auto& it)
                  { return std::ranges::find(m_takeover_order, it) == m_takeover_order.end(); });
}

std::size_t gossip_node::takeover_position() const
{
    const auto it = std::ranges::find(m_takeover_order, m_self.name);
    return static_cast<std::size_t>(it - m_takeover_order.begin());
}

std::size_t gossip_node::watcher_count() const
{
    const auto count = m_takeover_order.size();
    if (count <= m_options.max_all_watch)
        return count;
    const auto per_watcher = m_options.processes_per_watcher;
    const auto needed = per_watcher == 0 ? 0 : (count + per_watcher - 1) / per_watcher;
    return std::max(m_options.watchers, needed);
}

milliseconds gossip_node::unconfirmed_time(timestamp now) const
{
    return now - std::max(m_confirmed_at, m_started_at);
}

std::size_t gossip_node::live_watchers_ahead(timestamp now) const
{
    const auto own_position = takeover_position();
    std::size_t n = 0;
    for (std::size_t i = 0; i < own_position; ++i)
    {
        const auto it = m_watchers.find(m_takeover_order[i]);
        n +=
            it != m_watchers.end() && now - it->second.last_contact_at < m_options.max_unconfirmed()
                ? 1
                : 0;
    }
    return n;
}

/// A process that gets no confirmation from others turns to the store. The later its position, the
/// later it does, within a fixed time: some of the processes before it may have failed too.
bool gossip_node::should_take_over(timestamp now) const
{
    const auto others = m_takeover_order.size() - watcher_count();
    const auto place = takeover_position() - watcher_count() + 1;
    const auto delay = m_options.takeover_window() * static_cast<std::int64_t>(place) /
                       static_cast<std::int64_t>(others);
    return unconfirmed_time(now) > m_options.max_unconfirmed() + delay;
}

actions gossip_node::begin(timestamp now)
{
    m_started_at = now;
    actions out;
    start_read(out, now);
    return out;
}

void gossip_node::start_read(actions& out, timestamp now)
{
    if (m_reading || m_watching || now < m_next_read_at)
        return;
    m_reading = true;
    m_read_started_at = now;
    delay_next_attempt(now);
    out.emplace_back(read_store{});
}

/// Starts to watch from the replica's revision. A read of all keys would cost the store more, and
/// many processes may take over at once.
void gossip_node::take_over(actions& out, timestamp now)
{
    if (m_reading || now < m_next_read_at)
        return;
    m_watching = true;
    delay_next_attempt(now);
    out.emplace_back(start_watch{});
}

void gossip_node::delay_next_attempt(timestamp now)
{
    // Random jitter keeps processes that failed at the same time from retrying at the same time.
    std::uniform_int_distribution<std::int64_t> jitter{m_read_backoff.count() / 2,
                                                       m_read_backoff.count()};
    m_next_read_at = now + milliseconds{jitter(m_random)};
    m_read_backoff = std::min(m_read_backoff * 2, m_options.max_read_backoff);
}

actions gossip_node::tick(timestamp now)
{
    actions out;
    // A tick may be a little early after a late one.
    if (now + m_options.tick_period() / 2 >= m_next_digest_at)
    {
        m_next_digest_at = now + m_options.period;
        send_digest_to_random_peers(out, m_options.digest_peers, now);
    }
    const bool is_regular = is_regular_watcher();
    const auto enough_watchers = std::min(m_options.watchers, max_reported_watchers);
    if (m_watching && !is_regular && live_watchers_ahead(now) >= enough_watchers)
        end_watch(out);
    if (!is_regular && needs_confirmation(now))
        request_confirmation(out, now);
    if (m_watching)
        return out;
    if (!m_replica.is_ready() || is_regular)
        start_read(out, now);
    else if (should_take_over(now))
        take_over(out, now);
    return out;
}

/// A process that has taken over also asks, to learn when others watch again.
bool gossip_node::needs_confirmation(timestamp now) const
{
    return m_replica.is_ready() && (m_watching || unconfirmed_time(now) >= m_options.request_age());
}

/// The peers that may watch the store and are not known to be silent; any other peers if there are
/// none.
std::vector<peer> gossip_node::confirmation_sources(timestamp now) const
{
    const auto is_silent = [this](const peer& it) { return m_unanswered.contains(it.name); };
    const auto may_watch = [&](const peer& it)
    {
        const auto regular_end =
            m_takeover_order.begin() +
            static_cast<std::ptrdiff_t>(std::min(watcher_count(), m_takeover_order.size()));
        if (std::find(m_takeover_order.begin(), regular_end, it.name) != regular_end)
            return true;
        const auto found = m_watchers.find(it.name);
        return found != m_watchers.end() &&
               now - found->second.last_contact_at < m_options.max_unconfirmed();
    };
    std::vector<peer> out;
    std::ranges::copy_if(m_peers, std::back_inserter(out),
                         [&](const peer& it) { return !is_silent(it) && may_watch(it); });
    if (out.empty())
        std::ranges::copy_if(m_peers, std::back_inserter(out), std::not_fn(is_silent));
    return out;
}

void gossip_node::request_confirmation(actions& out, timestamp now)
{
    auto sources = confirmation_sources(now);
    if (sources.empty())
    {
        m_unanswered.clear();
        sources = m_peers;
    }
    if (sources.empty())
        return;
    std::uniform_int_distribution<std::size_t> any{0, sources.size() - 1};
    const auto& it = sources[any(m_random)];
    m_unanswered.insert(it.name);
    auto request = own_digest(now);
    request.asked_at = now.time_since_epoch().count();
    out.emplace_back(send_message{it.address, std::move(request)});
}

/// The age of the answer counts from the request, since messages may be delayed for any time. It
/// holds for this replica if that has all changes of the sender's.
void gossip_node::record_confirmation(const digest& answer, timestamp now)
{
    const timestamp asked_at{milliseconds{answer.answer_to}};
    const bool is_valid = asked_at <= now && answer.unconfirmed_time >= milliseconds{0};
    if (is_valid && m_replica.is_ready() && answer.in_era == m_replica.era() &&
        m_replica.last_change() >= answer.last_change)
        m_confirmed_at = std::max(m_confirmed_at, asked_at - answer.unconfirmed_time);
}

actions gossip_node::read_finished(const kv::range_response& response, timestamp now)
{
    m_reading = false;
    actions out;
    const auto before = m_replica.version();
    if (update({response.as_of, response.items, response.in_era}) ==
        config::update_result::regressed)
    {
        m_regressed_to = {response.in_era, response.as_of};
        return out;
    }
    m_read_backoff = m_options.initial_read_backoff;
    m_confirmed_at = std::max(m_confirmed_at, m_read_started_at);
    if (m_replica.version() != before)
        announce_change(out, now);
    if (!is_regular_watcher())
        return out;
    m_watching = true;
    m_watchers[m_self.name].last_contact_at = now;
    out.emplace_back(start_watch{});
    return out;
}

config::update_result gossip_node::update(const config::snapshot& s)
{
    if (!m_replica.is_ready())
        m_first_era = s.in_era;
    return m_replica.update(s);
}

actions gossip_node::store_failed(timestamp now, store_failure why)
{
    m_reading = false;
    actions out;
    if (is_regular_watcher() || why == store_failure::history_lost)
        restart_watch(out, now);
    else if (m_watching)
        end_watch(out);
    return out;
}

void gossip_node::end_watch(actions& out)
{
    m_watching = false;
    m_watchers.erase(m_self.name);
    out.emplace_back(stop_watch{});
}

/// Ends the watch, if there is one, and reads all keys.
void gossip_node::restart_watch(actions& out, timestamp now)
{
    if (!m_watching)
        return;
    end_watch(out);
    start_read(out, now);
}

actions gossip_node::store_restored(timestamp now)
{
    actions out;
    restart_watch(out, now);
    return out;
}

actions gossip_node::store_changed(const config::delta& d, timestamp now, timestamp confirmed_at)
{
    actions out;
    const auto before = m_replica.version();
    m_replica.update(d);
    if (d.in_era == m_replica.era() && d.to <= m_replica.as_of())
        store_responded(confirmed_at);
    if (m_replica.version() != before)
        announce_change(out, now);
    return out;
}

void gossip_node::store_responded(timestamp confirmed_at)
{
    if (!m_watching)
        return;
    m_read_backoff = m_options.initial_read_backoff;
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
    m_watchers[m_self.name].last_contact_at = confirmed_at;
}

digest gossip_node::own_digest(timestamp now) const
{
    digest out{m_self.name, m_self.address, m_replica.as_of(), m_replica.last_change(),
               {},          m_replica.era()};
    const auto report = [&](const std::string& name)
    {
        const auto it = m_watchers.find(name);
        if (it == m_watchers.end() || out.watchers.size() >= max_reported_watchers)
            return;
        const auto age = now - it->second.last_contact_at;
        if (age < m_options.max_unconfirmed())
            out.watchers.push_back({name, age});
    };
    // First this process, which knows its own contact best.
    report(m_self.name);
    for (const auto& name : m_takeover_order)
    {
        if (name != m_self.name)
            report(name);
    }
    return out;
}

void gossip_node::update_watchers(const digest& d, timestamp now)
{
    for (const auto& it : d.watchers)
    {
        if (it.name == m_self.name)
            continue;
        auto& last_contact = m_watchers[it.name].last_contact_at;
        last_contact = std::max(last_contact, now - it.age);
    }
    std::erase_if(m_watchers, [&](const auto& it)
                  { return now - it.second.last_contact_at > m_options.max_unconfirmed() * 4; });
}

void gossip_node::send_digest_to_random_peers(actions& out, std::size_t count, timestamp now)
{
    std::vector<peer> chosen;
    std::ranges::sample(m_peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count),
                        m_random);
    for (const auto& it : chosen)
        out.emplace_back(send_message{it.address, own_digest(now)});
}

/// Sends the digest of a changed replica to a few random peers, and to the primary watcher, which
/// reports where the change is in effect.
void gossip_node::announce_change(actions& out, timestamp now)
{
    send_digest_to_random_peers(out, m_options.fanout, now);
    if (!m_options.report_propagation)
        return;
    for (const auto& name : m_takeover_order)
    {
        if (!m_watchers.contains(name) || name == m_self.name)
            continue;
        const auto it = std::ranges::find(m_peers, name, &peer::name);
        if (it != m_peers.end())
            out.emplace_back(send_message{it->address, own_digest(now)});
        return;
    }
}

actions gossip_node::handle(const message& m, timestamp now)
{
    if (const auto* d = std::get_if<digest>(&m))
    {
        update_watchers(*d, now);
        m_unanswered.erase(d->name);
        if (d->answer_to != 0)
            record_confirmation(*d, now);
        auto& position = m_peer_positions[d->name];
        position = std::max(position, d->position());
        return respond(*d, now);
    }
    actions out;
    const auto before = m_replica.version();
    const auto era_before = m_replica.era();
    if (const auto* d = std::get_if<delta_message>(&m))
        m_replica.update(d->changes);
    else if (const auto* s = std::get_if<snapshot_message>(&m);
             s->state.position() > m_replica.position())
        update(s->state);
    // A watch reports the changes of the era in which it was started.
    if (m_replica.era() != era_before)
        restart_watch(out, now);
    if (m_replica.version() != before)
        announce_change(out, now);
    return out;
}

actions gossip_node::respond(const digest& d, timestamp now)
{
    actions out;
    const kv::position last_change{m_replica.era(), m_replica.last_change()};
    const kv::position peers_last_change{d.in_era, d.last_change};
    const bool is_behind = d.position() > m_replica.position() && peers_last_change > last_change;
    const bool is_ahead = d.position() < m_replica.position() && peers_last_change < last_change;
    // Before the answer, which holds for a replica that has them.
    if (is_ahead)
        send_missing_changes(out, d, now);
    if (d.asked_at != 0)
    {
        auto answer = own_digest(now);
        answer.answer_to = d.asked_at;
        answer.unconfirmed_time = unconfirmed_time(now);
        out.emplace_back(send_message{d.address, std::move(answer)});
    }
    // With this digest the sender can send the missing changes.
    else if (is_behind)
        out.emplace_back(send_message{d.address, own_digest(now)});
    return out;
}

/// Sends a peer the changes that it lacks, except those that were sent recently. Without this, a
/// peer that sends its digest several times before the first response has arrived would get the
/// same changes each time.
void gossip_node::send_missing_changes(actions& out, const digest& to, timestamp now)
{
    auto& sent = m_last_sent[to.name];
    const bool is_in_flight = now - sent.at < m_options.resend_after;
    const auto from = is_in_flight ? std::max(to.position(), sent.up_to) : to.position();
    if (from >= m_replica.position())
        return;
    if (!is_in_flight)
        sent.at = now;
    sent.up_to = m_replica.position();
    if (auto changes = m_replica.changes_since(from))
    {
        out.emplace_back(send_message{to.address, delta_message{std::move(*changes)}});
        return;
    }
    snapshot_message snapshot{{m_replica.as_of(), {}, m_replica.era()}};
    for (const auto& [key, it] : m_replica.items())
        snapshot.state.items.push_back(it);
    out.emplace_back(send_message{to.address, std::move(snapshot)});
}

bool gossip_node::is_primary_watcher(timestamp now) const
{
    return m_watching && live_watchers_ahead(now) == 0;
}

propagation_report gossip_node::report() const
{
    const auto newest = m_replica.last_change();
    propagation_report out{newest, m_peers.size() + 1, {}};
    for (const auto& it : m_peers)
    {
        const auto found = m_peer_positions.find(it.name);
        const bool is_of_era =
            found != m_peer_positions.end() && found->second.in_era == m_replica.era();
        const auto revision = is_of_era ? found->second.at : 0;
        if (revision >= newest)
            continue;
        out.lowest = std::min(out.lowest, revision);
        out.behind.push_back(it.name);
    }
    return out;
}

} // namespace kumquatgap::membership
