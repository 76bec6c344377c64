#include "membership/spreader.hpp"

#include "common/hash.hpp"

#include <algorithm>

namespace kumquatgap::membership
{

namespace
{

constexpr std::size_t max_reported_watchers = 3;

} // namespace

spreader::spreader(peer self, spreader_options options, std::uint64_t seed)
    : m_self{std::move(self)}, m_options{options}, m_random{seed}, m_read_pause{
                                                                       options.first_read_pause}
{
    m_succession.push_back(m_self.name);
}

void spreader::set_peers(const std::vector<peer>& peers)
{
    m_peers.clear();
    m_succession = {m_self.name};
    for (const auto& it : peers)
    {
        if (it.name == m_self.name)
            continue;
        m_peers.push_back(it);
        m_succession.push_back(it.name);
    }
    std::ranges::sort(m_succession, {},
                      [](const std::string& name) { return common::hash64(name); });
    const auto is_unknown = [this](const auto& it)
    { return std::ranges::find(m_succession, it.first) == m_succession.end(); };
    std::erase_if(m_peer_revisions, is_unknown);
    std::erase_if(m_sent_to, is_unknown);
}

std::size_t spreader::rank() const
{
    const auto it = std::ranges::find(m_succession, m_self.name);
    return static_cast<std::size_t>(it - m_succession.begin());
}

milliseconds spreader::freshest_age(timestamp now) const
{
    // Before anything was heard, the time since the start counts.
    auto newest = m_began;
    for (const auto& [name, it] : m_watchers)
        newest = std::max(newest, it.store_heard_at);
    return now - newest;
}

std::size_t spreader::better_watchers(timestamp now) const
{
    const auto own_rank = rank();
    std::size_t n = 0;
    for (std::size_t i = 0; i < own_rank; ++i)
    {
        const auto it = m_watchers.find(m_succession[i]);
        n += it != m_watchers.end() && now - it->second.store_heard_at < m_options.watcher_silence
                 ? 1
                 : 0;
    }
    return n;
}

/// A process watches when too few before it in the order of succession do; the later its place,
/// the longer it waits, so that a failed watcher is followed by one process and not by all.
bool spreader::should_take_over(timestamp now) const
{
    const auto own_rank = rank();
    if (own_rank < m_options.watchers)
        return true;
    const auto patience =
        m_options.watcher_silence +
        m_options.succession_step * static_cast<std::int64_t>(own_rank - m_options.watchers + 1);
    return freshest_age(now) > patience;
}

actions spreader::begin(timestamp now)
{
    m_began = now;
    actions out;
    read_soon(out, now);
    return out;
}

void spreader::read_soon(actions& out, timestamp now)
{
    if (m_reading || m_watching || now < m_read_not_before)
        return;
    m_reading = true;
    // The pause is drawn anew each time, so that processes that failed together part.
    std::uniform_int_distribution<std::int64_t> any{m_read_pause.count() / 2, m_read_pause.count()};
    m_read_not_before = now + milliseconds{any(m_random)};
    m_read_pause = std::min(m_read_pause * 2, m_options.longest_read_pause);
    out.emplace_back(read_store{});
}

actions spreader::tick(timestamp now)
{
    actions out;
    send_to_random(out, m_options.compared, now);
    if (m_watching && better_watchers(now) >= m_options.watchers)
    {
        m_watching = false;
        m_watchers.erase(m_self.name);
        out.emplace_back(stop_watch{});
    }
    if (!m_watching && (!m_replica.is_ready() || should_take_over(now)))
        read_soon(out, now);
    return out;
}

actions spreader::store_read(const kv::range_answer& answer, timestamp now)
{
    m_reading = false;
    actions out;
    const auto before = m_replica.version();
    if (m_replica.adopt(answer.as_of, answer.items) == config::adoption::regressed)
    {
        m_regressed = true;
        return out;
    }
    m_read_pause = m_options.first_read_pause;
    if (m_replica.version() != before)
        pass_on(out, now);
    if (!should_take_over(now))
        return out;
    m_watching = true;
    store_heard(now);
    out.emplace_back(start_watch{});
    return out;
}

actions spreader::store_failed(timestamp now)
{
    m_reading = false;
    if (!std::exchange(m_watching, false))
        return {};
    m_watchers.erase(m_self.name);
    actions out;
    out.emplace_back(stop_watch{});
    read_soon(out, now);
    return out;
}

actions spreader::store_changed(const config::delta& d, timestamp now)
{
    store_heard(now);
    actions out;
    const auto before = m_replica.version();
    m_replica.adopt(d);
    if (m_replica.version() != before)
        pass_on(out, now);
    return out;
}

void spreader::store_heard(timestamp now)
{
    if (m_watching)
        m_watchers[m_self.name].store_heard_at = now;
}

digest spreader::own_digest(timestamp now) const
{
    digest out{m_self.name, m_self.address, m_replica.as_of(), m_replica.last_change(), {}};
    for (const auto& name : m_succession)
    {
        const auto it = m_watchers.find(name);
        if (it == m_watchers.end() || out.watchers.size() >= max_reported_watchers)
            continue;
        const auto age = now - it->second.store_heard_at;
        if (age < m_options.watcher_silence)
            out.watchers.push_back({name, age});
    }
    return out;
}

void spreader::note_watchers(const digest& d, timestamp now)
{
    for (const auto& it : d.watchers)
    {
        if (it.name == m_self.name)
            continue;
        auto& known = m_watchers[it.name].store_heard_at;
        known = std::max(known, now - it.age);
    }
    std::erase_if(m_watchers, [&](const auto& it)
                  { return now - it.second.store_heard_at > m_options.watcher_silence * 4; });
}

void spreader::send_to_random(actions& out, std::size_t count, timestamp now)
{
    std::vector<peer> chosen;
    std::ranges::sample(m_peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count),
                        m_random);
    for (const auto& it : chosen)
        out.emplace_back(send_message{it.address, own_digest(now)});
}

/// Tells a few peers that there is something new, and the first watcher that it is in force here.
void spreader::pass_on(actions& out, timestamp now)
{
    send_to_random(out, m_options.fan_out, now);
    if (!m_options.reports)
        return;
    for (const auto& name : m_succession)
    {
        if (!m_watchers.contains(name) || name == m_self.name)
            continue;
        const auto it = std::ranges::find(m_peers, name, &peer::name);
        if (it != m_peers.end())
            out.emplace_back(send_message{it->address, own_digest(now)});
        return;
    }
}

actions spreader::received(const message& m, timestamp now)
{
    if (const auto* d = std::get_if<digest>(&m))
    {
        note_watchers(*d, now);
        auto& known = m_peer_revisions[d->name];
        known = std::max(known, d->as_of);
        return answer(*d, now);
    }
    actions out;
    const auto before = m_replica.version();
    if (const auto* d = std::get_if<delta_message>(&m))
        m_replica.adopt(d->changes);
    else if (const auto* s = std::get_if<snapshot_message>(&m); s->as_of > m_replica.as_of())
        m_replica.adopt(s->as_of, s->items);
    if (m_replica.version() != before)
        pass_on(out, now);
    return out;
}

/// True when the sender's news of the watchers is so old that it might take them for gone.
bool spreader::needs_news(const digest& d, timestamp now) const
{
    auto age = milliseconds::max();
    for (const auto& it : d.watchers)
        age = std::min(age, it.age);
    return freshest_age(now) + m_options.watcher_silence / 4 < age;
}

actions spreader::answer(const digest& d, timestamp now)
{
    actions out;
    const bool is_behind = d.as_of > m_replica.as_of() && d.last_change > m_replica.last_change();
    const bool is_ahead = d.as_of < m_replica.as_of() && d.last_change < m_replica.last_change();
    // The sender learns from this digest what is missing here, or what it has not heard.
    if (is_behind || needs_news(d, now))
        out.emplace_back(send_message{d.address, own_digest(now)});
    if (is_ahead)
        send_changes(out, d, now);
    return out;
}

/// Sends a peer what it lacks, less what is already on its way: a peer that compares itself with
/// many before the first answer has arrived would get the same from all, again and again.
void spreader::send_changes(actions& out, const digest& to, timestamp now)
{
    auto& sent = m_sent_to[to.name];
    const bool is_on_its_way = now - sent.at < m_options.resend_after;
    const auto from = is_on_its_way ? std::max(to.as_of, sent.up_to) : to.as_of;
    if (from >= m_replica.as_of())
        return;
    if (!is_on_its_way)
        sent.at = now;
    sent.up_to = m_replica.as_of();
    if (auto changes = m_replica.since(from))
    {
        out.emplace_back(send_message{to.address, delta_message{std::move(*changes)}});
        return;
    }
    snapshot_message all{m_replica.as_of(), {}};
    for (const auto& [key, it] : m_replica.items())
        all.items.push_back(it);
    out.emplace_back(send_message{to.address, std::move(all)});
}

bool spreader::speaks_for_data_centre(timestamp now) const
{
    return m_watching && better_watchers(now) == 0;
}

in_force_report spreader::report() const
{
    const auto newest = m_replica.last_change();
    in_force_report out{newest, m_peers.size() + 1, {}};
    for (const auto& it : m_peers)
    {
        const auto found = m_peer_revisions.find(it.name);
        const auto revision = found == m_peer_revisions.end() ? 0 : found->second;
        if (revision >= newest)
            continue;
        out.lowest = std::min(out.lowest, revision);
        out.behind.push_back(it.name);
    }
    return out;
}

} // namespace kumquatgap::membership
