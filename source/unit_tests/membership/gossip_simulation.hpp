#pragma once

#include "common/text.hpp"
#include "membership/gossip_node.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::membership
{

/// The processes of a data centre with a store that they watch by polling, in simulated time.
/// Messages take a fixed time and are lost only by the faults that a test asks for.
class gossip_simulation
{
public:
    static constexpr milliseconds latency{2};
    static constexpr milliseconds store_latency{4};
    /// How long a watch call waits for changes when no process depends on it.
    static constexpr milliseconds longest_poll{2500};
    /// A poll without a response fails this much later than its end.
    static constexpr milliseconds poll_grace{1200};

    gossip_simulation(std::size_t count, const gossip_options& options)
    {
        std::vector<peer> peers;
        for (std::size_t i = 0; i < count; ++i)
            peers.push_back({common::concat("host-", i), std::to_string(i)});
        for (std::size_t i = 0; i < count; ++i)
            m_processes.push_back({gossip_node{peers[i], options, i + 1}});
        for (std::size_t i = 0; i < count; ++i)
        {
            m_processes[i].node.set_peers(peers);
            const auto offset = static_cast<std::int64_t>(i * 997 % 500);
            schedule(milliseconds{offset}, [this, i] { start(i); });
        }
        run_for(milliseconds{500});
    }

    std::size_t size() const { return m_processes.size(); }
    timestamp now() const { return m_now; }
    const gossip_node& node(std::size_t i) const { return m_processes[i].node; }
    bool is_running(std::size_t i) const { return !m_processes[i].has_ended; }
    std::vector<std::size_t> watching() const
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (is_running(i) && node(i).is_watching())
                out.push_back(i);
        }
        return out;
    }

    void run_for(milliseconds time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            m_now = m_events.begin()->first;
            const auto fn = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            fn();
        }
        m_now = end;
    }

    void end_process(std::size_t i) { m_processes[i].has_ended = true; }
    /// The process goes on, but nothing passes between it and the store, and no error shows that.
    void cut_from_store(std::size_t i) { m_processes[i].is_cut_from_store = true; }
    /// Messages to the process are lost; those that it sends are not.
    void cut_inbound(std::size_t i) { m_processes[i].is_cut_inbound = true; }
    /// The process sends no answer to requests for confirmation, as builds of before them.
    void be_former_build(std::size_t i) { m_processes[i].is_former_build = true; }
    /// The process stands still; what reaches it meanwhile is handled when it goes on.
    void freeze(std::size_t i, milliseconds time) { m_processes[i].frozen_until = m_now + time; }

    /// Writes a key; the store's confirmation is at the same moment.
    void change()
    {
        ++m_revision;
        const std::string key = "key";
        m_value = {key, std::to_string(m_revision), m_revision};
        for (std::size_t i = 0; i < size(); ++i)
        {
            if (m_processes[i].polled_after)
                respond_to_poll(i);
        }
    }

    /// Runs until all processes that are left have the newest change or a time is over; the time
    /// that it took them.
    std::optional<milliseconds> time_to_all(milliseconds longest)
    {
        const auto start = m_now;
        while (m_now - start <= longest)
        {
            const auto has_change = [this](const process& it)
            { return it.has_ended || it.node.replica().as_of() >= m_revision; };
            if (std::ranges::all_of(m_processes, has_change))
                return m_now - start;
            run_for(milliseconds{5});
        }
        return std::nullopt;
    }

    std::uint64_t store_calls() const { return m_store_calls; }
    /// Bytes that processes have sent to each other.
    std::uint64_t bytes() const { return m_bytes; }
    /// Bytes that the busiest process has sent and received.
    std::uint64_t most_bytes_of_process() const
    {
        return std::ranges::max(m_processes, {}, &process::bytes).bytes;
    }

private:
    struct process
    {
        gossip_node node;
        bool has_ended = false;
        bool is_cut_from_store = false;
        bool is_cut_inbound = false;
        bool is_former_build = false;
        timestamp frozen_until = {};
        /// The revision of the poll that waits at the store.
        std::optional<kv::revision> polled_after = std::nullopt;
        timestamp confirms_at = {};
        /// Distinguishes a poll from earlier ones.
        std::uint64_t poll = 0;
        std::uint64_t bytes = 0;
    };

    void schedule(milliseconds after, std::function<void()> fn)
    {
        m_events.emplace(m_now + after, std::move(fn));
    }

    /// Calls fn at a process after a time, or once it goes on.
    void schedule_at(std::size_t i, milliseconds after, std::function<void()> fn)
    {
        schedule(after,
                 [this, i, fn = std::move(fn)]
                 {
                     const auto& it = m_processes[i];
                     if (it.has_ended)
                         return;
                     if (it.frozen_until > m_now)
                         return schedule_at(i, it.frozen_until - m_now, fn);
                     fn();
                 });
    }

    void start(std::size_t i)
    {
        carry_out(i, m_processes[i].node.begin(m_now));
        tick(i);
    }

    void tick(std::size_t i)
    {
        auto& it = m_processes[i].node;
        carry_out(i, it.tick(m_now));
        schedule_at(i, it.options().tick_period(), [this, i] { tick(i); });
    }

    void carry_out(std::size_t i, const actions& list)
    {
        for (const auto& it : list)
            std::visit([&](const auto& action) { perform(i, action); }, it);
    }

    void perform(std::size_t i, const send_message& it)
    {
        auto payload = it.payload;
        auto* d = std::get_if<digest>(&payload);
        if (d != nullptr && m_processes[i].is_former_build)
        {
            if (d->answer_to != 0)
                return;
            d->asked_at = 0;
        }
        const auto to = static_cast<std::size_t>(std::stoul(it.address));
        const auto n = to_bytes(payload, "deployment-token").size();
        m_bytes += n;
        m_processes[i].bytes += n;
        m_processes[to].bytes += n;
        if (m_processes[to].is_cut_inbound)
            return;
        schedule_at(to, latency,
                    [this, to, payload]
                    { carry_out(to, m_processes[to].node.handle(payload, m_now)); });
    }

    void perform(std::size_t i, const read_store&)
    {
        ++m_store_calls;
        if (m_processes[i].is_cut_from_store)
            return schedule_at(i, poll_grace,
                               [this, i]
                               { carry_out(i, m_processes[i].node.store_failed(m_now)); });
        kv::range_response all{m_revision, {}};
        if (m_value)
            all.items.push_back(*m_value);
        schedule_at(i, store_latency,
                    [this, i, all]
                    { carry_out(i, m_processes[i].node.read_finished(all, m_now)); });
    }

    void perform(std::size_t i, const start_watch&) { poll(i); }
    void perform(std::size_t i, const stop_watch&)
    {
        ++m_processes[i].poll;
        m_processes[i].polled_after.reset();
    }

    void poll(std::size_t i)
    {
        ++m_store_calls;
        auto& it = m_processes[i];
        const auto wait =
            it.node.has_dependents() ? it.node.options().confirmation_period() : longest_poll;
        const auto number = ++it.poll;
        it.polled_after = it.node.replica().as_of();
        it.confirms_at = m_now + wait;
        if (*it.polled_after < m_revision)
            return respond_to_poll(i);
        schedule(wait,
                 [this, i, number]
                 {
                     if (m_processes[i].poll == number && m_processes[i].polled_after)
                         respond_to_poll(i);
                 });
    }

    void respond_to_poll(std::size_t i)
    {
        auto& it = m_processes[i];
        const auto number = it.poll;
        const auto after = *std::exchange(it.polled_after, std::nullopt);
        if (it.is_cut_from_store)
            return schedule_at(i, poll_grace,
                               [this, i, number]
                               {
                                   if (m_processes[i].poll == number)
                                       carry_out(i, m_processes[i].node.store_failed(m_now));
                               });
        config::delta d{after, m_revision, {}};
        if (m_value && m_value->mod_revision > after)
            d.changes.push_back({m_value->key, m_value->value, m_value->mod_revision});
        schedule_at(i, store_latency,
                    [this, i, number, d]
                    {
                        auto& to = m_processes[i];
                        if (to.poll != number)
                            return;
                        carry_out(i,
                                  to.node.store_changed(d, m_now, std::min(m_now, to.confirms_at)));
                        if (to.poll == number)
                            poll(i);
                    });
    }

    timestamp m_now{milliseconds{1'000'000}};
    std::vector<process> m_processes;
    std::multimap<timestamp, std::function<void()>> m_events;
    kv::revision m_revision = 10;
    std::optional<kv::key_value> m_value;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace kumquatgap::membership
