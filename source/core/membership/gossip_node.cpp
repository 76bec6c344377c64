#include "membership/gossip_node.hpp"

#include "common/hash.hpp"

#include <algorithm>

namespace kumquatgap::membership
{

namespace
{

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
}

std::size_t gossip_node::takeover_position() const
{
    const auto it = std::ranges::find(m_takeover_order, m_self.name);
    return static_cast<std::size_t>(it - m_takeover_order.begin());
}

milliseconds gossip_node::store_contact_age(timestamp now) const
{
    // Until the first contact with the store, the time since the start counts.
    auto last_contact = m_started_at;
    for (const auto& [name, it] : m_watchers)
        last_contact = std::max(last_contact, it.last_contact_at);
    return now - last_contact;
}

std::size_t gossip_node::live_watchers_ahead(timestamp now) const
{
    const auto own_position = takeover_position();
    std::size_t n = 0;
    for (std::size_t i = 0; i < own_position; ++i)
    {
        const auto it = m_watchers.find(m_takeover_order[i]);
        n += it != m_watchers.end() && now - it->second.last_contact_at < m_options.watcher_timeout
                 ? 1
                 : 0;
    }
    return n;
}

/// A process watches when too few of those before it in the takeover order do. The later its
/// position, the longer it waits, so that one process and not all of them replaces a failed
/// watcher.
bool gossip_node::should_watch(timestamp now) const
{
    const auto own_position = takeover_position();
    if (own_position < m_options.watchers)
        return true;
    const auto takeover_delay =
        m_options.watcher_timeout +
        m_options.takeover_delay_step *
            static_cast<std::int64_t>(own_position - m_options.watchers + 1);
    return store_contact_age(now) > takeover_delay;
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
    // Random jitter keeps processes that failed at the same time from retrying at the same time.
    std::uniform_int_distribution<std::int64_t> jitter{m_read_backoff.count() / 2,
                                                       m_read_backoff.count()};
    m_next_read_at = now + milliseconds{jitter(m_random)};
    m_read_backoff = std::min(m_read_backoff * 2, m_options.max_read_backoff);
    out.emplace_back(read_store{});
}

actions gossip_node::tick(timestamp now)
{
    actions out;
    send_digest_to_random_peers(out, m_options.digest_peers, now);
    if (m_watching && live_watchers_ahead(now) >= m_options.watchers)
    {
        m_watching = false;
        m_watchers.erase(m_self.name);
        out.emplace_back(stop_watch{});
    }
    if (!m_watching && (!m_replica.is_ready() || should_watch(now)))
        start_read(out, now);
    return out;
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
    if (m_replica.version() != before)
        announce_change(out, now);
    if (!should_watch(now))
        return out;
    m_watching = true;
    store_responded(now);
    out.emplace_back(start_watch{});
    return out;
}

config::update_result gossip_node::update(const config::snapshot& s)
{
    if (!m_replica.is_ready())
        m_first_era = s.in_era;
    return m_replica.update(s);
}

actions gossip_node::store_failed(timestamp now)
{
    m_reading = false;
    actions out;
    restart_watch(out, now);
    return out;
}

/// Replaces the watch, if there is one, after a read of all keys.
void gossip_node::restart_watch(actions& out, timestamp now)
{
    if (!std::exchange(m_watching, false))
        return;
    m_watchers.erase(m_self.name);
    out.emplace_back(stop_watch{});
    start_read(out, now);
}

actions gossip_node::store_restored(timestamp now)
{
    actions out;
    restart_watch(out, now);
    return out;
}

actions gossip_node::store_changed(const config::delta& d, timestamp now)
{
    store_responded(now);
    actions out;
    const auto before = m_replica.version();
    m_replica.update(d);
    if (m_replica.version() != before)
        announce_change(out, now);
    return out;
}

void gossip_node::store_responded(timestamp now)
{
    if (m_watching)
        m_watchers[m_self.name].last_contact_at = now;
}

digest gossip_node::own_digest(timestamp now) const
{
    digest out{m_self.name, m_self.address, m_replica.as_of(), m_replica.last_change(),
               {},          m_replica.era()};
    for (const auto& name : m_takeover_order)
    {
        const auto it = m_watchers.find(name);
        if (it == m_watchers.end() || out.watchers.size() >= max_reported_watchers)
            continue;
        const auto age = now - it->second.last_contact_at;
        if (age < m_options.watcher_timeout)
            out.watchers.push_back({name, age});
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
                  { return now - it.second.last_contact_at > m_options.watcher_timeout * 4; });
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

/// True when the sender's information about the watchers is so old that it might soon count them as
/// failed.
bool gossip_node::has_outdated_watchers(const digest& d, timestamp now) const
{
    auto age = milliseconds::max();
    for (const auto& it : d.watchers)
        age = std::min(age, it.age);
    return store_contact_age(now) + m_options.watcher_timeout / 4 < age;
}

actions gossip_node::respond(const digest& d, timestamp now)
{
    actions out;
    const kv::position last_change{m_replica.era(), m_replica.last_change()};
    const kv::position peers_last_change{d.in_era, d.last_change};
    const bool is_behind = d.position() > m_replica.position() && peers_last_change > last_change;
    const bool is_ahead = d.position() < m_replica.position() && peers_last_change < last_change;
    // With this digest the sender can send the missing changes, or update its list of watchers.
    if (is_behind || has_outdated_watchers(d, now))
        out.emplace_back(send_message{d.address, own_digest(now)});
    if (is_ahead)
        send_missing_changes(out, d, now);
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
