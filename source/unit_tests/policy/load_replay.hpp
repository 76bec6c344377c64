#pragma once

#include "policy/admission_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <utility>
#include <vector>

/// Replays recorded load patterns through admission queues and a counter of slots.
namespace kumquatgap::replay
{

using policy::milliseconds;
using policy::timestamp;

inline constexpr timestamp start{milliseconds{1'000'000}};
inline constexpr int classes = 3;
inline constexpr milliseconds window{2000};
inline constexpr int windows = 12;
/// Callers wait for retries at most this part of their remaining time.
inline constexpr double max_retry_part = 1.0 / 3;

struct traffic_class
{
    double per_s;
    double value;
    double late_fraction;
    milliseconds goal;
    /// A caller without an event for so long disconnects.
    milliseconds patience;
};

/// The three classes of streams of deployment A.
inline constexpr std::array<traffic_class, classes> s_classes{
    {{80, 3.5, 0.34, milliseconds{400}, milliseconds{2000}},
     {35, 1.8, 0.46, milliseconds{400}, milliseconds{2000}},
     {105, 0.92, 0.35, milliseconds{1000}, milliseconds{4000}}}};
inline constexpr milliseconds time_to_first_event{180};
inline constexpr double total_slots = 630;
inline constexpr double mean_slot_ms = 2400;

/// A factor on the arrivals of a class for a time.
struct burst
{
    int priority;
    milliseconds from, to;
    double factor;
};

/// What happens to the load and to the slots.
struct pattern
{
    const char* name;
    std::array<traffic_class, classes> traffic = s_classes;
    double base_factor = 1;
    std::vector<burst> bursts = {};
    /// No slot is free and all streams are interrupted from then on, if the times differ.
    milliseconds down_from{0}, down_to{0};
    /// How many of the interrupted streams resume; the others are lost.
    int resumed = 0;
    /// The slots come back evenly over this time.
    milliseconds return_time{0};
    /// No stream progresses.
    milliseconds frozen_from{0}, frozen_to{0};
};

/// How calls ended; a refused call counts again when its retry is refused.
struct counts
{
    int calls = 0, on_time = 0, late = 0, refused = 0, late_refused = 0;
    double value = 0, possible = 0;

    double share(int n) const { return calls == 0 ? 0 : double(n) / calls; }
    double served_share() const { return calls == 0 ? 1 : share(on_time + late); }
    double value_share() const { return possible == 0 ? 1 : value / possible; }
    counts& operator+=(const counts& it)
    {
        calls += it.calls;
        on_time += it.on_time;
        late += it.late;
        refused += it.refused;
        late_refused += it.late_refused;
        value += it.value;
        possible += it.possible;
        return *this;
    }
};

struct result
{
    std::array<counts, classes> by_class;
    /// The largest tenth of the calls of each class.
    std::array<counts, classes> largest;
    std::array<counts, windows> by_window;

    double value_share() const
    {
        double value = 0;
        double possible = 0;
        for (const auto& it : by_class)
        {
            value += it.value;
            possible += it.possible;
        }
        return value / possible;
    }
    result& operator+=(const result& it)
    {
        for (std::size_t c = 0; c < by_class.size(); ++c)
        {
            by_class[c] += it.by_class[c];
            largest[c] += it.largest[c];
        }
        for (std::size_t w = 0; w < by_window.size(); ++w)
            by_window[w] += it.by_window[w];
        return *this;
    }
};

/// A fleet of gateways that share the slots of one group.
class fleet
{
public:
    fleet(const pattern& p, const policy::admission_queue_options& how, std::size_t gateways,
          unsigned seed)
        : m_pattern{p}, m_random{seed}, m_queues(gateways, policy::admission_queue{how})
    {
        for (auto& it : m_queues)
            it.set_capacity({total_slots / double(gateways), milliseconds{int(mean_slot_ms)}});
    }

    result run()
    {
        constexpr milliseconds length{24'000};
        for (m_now = start; m_now < start + length + milliseconds{6000}; m_now += milliseconds{1})
        {
            change_slots();
            if (m_now < start + length)
                add_arrivals();
            end_streams();
            if ((m_now - start).count() % 25 == 0)
                expire();
            dispatch();
            if ((m_now - start).count() % 25 == 0)
                refuse_by_prediction();
        }
        return m_result;
    }

private:
    struct call
    {
        int priority;
        timestamp first_arrived;
        double size;
        double hint;
        std::size_t gateway;
        timestamp offered;
        bool is_retry = false;
        bool is_counted = false;
    };

    bool is_down() const
    {
        return m_now >= start + m_pattern.down_from && m_now < start + m_pattern.down_to;
    }
    bool is_frozen() const
    {
        return m_now >= start + m_pattern.frozen_from && m_now < start + m_pattern.frozen_to;
    }
    double uniform() { return std::uniform_real_distribution<double>{0, 1}(m_random); }

    void change_slots()
    {
        const auto since = m_now - (start + m_pattern.down_to);
        m_slots = total_slots;
        if (m_pattern.return_time.count() > 0 && m_pattern.down_to.count() > 0 &&
            since.count() >= 0 && since < m_pattern.return_time)
            m_slots = total_slots * double(since.count()) / double(m_pattern.return_time.count());
        if (m_pattern.down_to != m_pattern.down_from && m_now == start + m_pattern.down_from)
            interrupt();
        if (m_pattern.down_to != m_pattern.down_from && m_now == start + m_pattern.down_to)
            std::ranges::for_each(m_queues, [&](auto& it) { it.resume(m_now); });
    }

    void interrupt()
    {
        int n = 0;
        for (const auto& [ends, id] : std::exchange(m_running, {}))
        {
            auto& it = m_calls[id];
            auto& queue = m_queues[it.gateway];
            queue.slot_freed(id);
            if (n++ >= m_pattern.resumed)
                continue;
            auto entry = entry_of(id, m_now);
            entry.is_answered_in_part = true;
            queue.requeue(entry, m_now);
        }
    }

    void add_arrivals()
    {
        for (int p = 0; p < classes; ++p)
        {
            double per_s = m_pattern.traffic[std::size_t(p)].per_s * m_pattern.base_factor;
            for (const auto& it : m_pattern.bursts)
            {
                if (it.priority == p && m_now >= start + it.from && m_now < start + it.to)
                    per_s *= it.factor;
            }
            const auto n = std::poisson_distribution<int>{per_s / 1000}(m_random);
            for (int i = 0; i < n; ++i)
                add(p);
        }
        for (auto it = m_retries.begin(); it != m_retries.end() && it->first <= m_now;
             it = m_retries.erase(it))
            offer(it->second);
    }

    /// Lengths vary by a factor of ten around a mean of 1; the hint is right in the median.
    void add(int p)
    {
        const double size = std::pow(10, uniform()) * std::log(10) / 9;
        const double hint = size * std::exp(std::normal_distribution<double>{0, 0.5}(m_random));
        const auto id = ++m_last_id;
        m_calls[id] = {p,    m_now, size, hint, std::size_t(uniform() * double(m_queues.size())),
                       m_now};
        for (auto* it : counts_of(m_calls[id]))
        {
            ++it->calls;
            it->possible += value_of(m_calls[id]);
        }
        offer(id);
    }

    const traffic_class& class_of(const call& it) const
    {
        return m_pattern.traffic[std::size_t(it.priority)];
    }

    double value_of(const call& it) const
    {
        return class_of(it).value * std::min(4.0, 0.3 + 0.7 * it.size);
    }

    std::vector<counts*> counts_of(const call& it)
    {
        std::vector<counts*> out{&m_result.by_class[std::size_t(it.priority)]};
        const auto w = std::size_t((it.first_arrived - start) / window);
        if (w < windows)
            out.push_back(&m_result.by_window[w]);
        constexpr double largest_tenth = 2.03;
        if (it.size > largest_tenth)
            out.push_back(&m_result.largest[std::size_t(it.priority)]);
        return out;
    }

    policy::waiting_call entry_of(std::uint64_t id, timestamp since)
    {
        const auto& it = m_calls[id];
        const auto& c = class_of(it);
        const auto deadline = std::min(since + c.patience, it.first_arrived + milliseconds{8000});
        return {.id = id,
                .priority = it.priority,
                .arrived = since,
                .in_time_until = since + c.goal - time_to_first_event,
                .deadline = deadline - time_to_first_event,
                .slot_time = milliseconds{int(mean_slot_ms * it.hint)}};
    }

    void offer(std::uint64_t id)
    {
        auto& it = m_calls[id];
        it.offered = m_now;
        const auto after = m_queues[it.gateway].offer(entry_of(id, m_now), m_now, uniform());
        if (after)
            refuse(id, *after);
    }

    /// A refusal is late once half of the latency goal has passed.
    void refuse(std::uint64_t id, milliseconds after)
    {
        auto& it = m_calls[id];
        const bool has_waited = m_now - it.offered > class_of(it).goal / 2;
        for (auto* c : counts_of(it))
            ++(has_waited ? c->late_refused : c->refused);
        const auto left = it.first_arrived + milliseconds{8000} - m_now;
        if (!std::exchange(it.is_retry, true) &&
            double(after.count()) <= double(left.count()) * max_retry_part)
            m_retries.emplace(m_now + after, id);
    }

    void end_streams()
    {
        if (is_frozen())
            return;
        while (!m_running.empty() && m_running.begin()->first <= m_now)
        {
            const auto id = m_running.begin()->second;
            m_running.erase(m_running.begin());
            m_queues[m_calls[id].gateway].slot_freed(id);
        }
    }

    void expire()
    {
        for (auto& queue : m_queues)
        {
            for (const auto id : queue.take_expired(m_now))
                refuse(id, queue.retry_after(m_now, uniform()));
            if (is_down())
                queue.halt(std::size_t(total_slots) / m_queues.size());
        }
    }

    void refuse_by_prediction()
    {
        for (auto& queue : m_queues)
        {
            for (const auto id : queue.take_unstartable_late(m_now))
                refuse(id, queue.late_retry_after(uniform()));
            for (const auto id : queue.take_excess(m_now))
                refuse(id, queue.retry_after(m_now, uniform()));
        }
    }

    /// The gateways take turns.
    void dispatch()
    {
        std::size_t without_call = 0;
        while (!is_down() && !is_frozen() && double(m_running.size()) < m_slots &&
               without_call < m_queues.size())
        {
            auto& queue = m_queues[m_turn++ % m_queues.size()];
            const auto id = queue.next(m_now);
            without_call = id ? 0 : without_call + 1;
            if (id)
            {
                queue.started(*id, m_now);
                begin(*id);
            }
        }
    }

    void begin(std::uint64_t id)
    {
        auto& it = m_calls[id];
        const auto work = 0.1 + 0.9 * it.size;
        m_running.emplace(m_now + milliseconds{int(mean_slot_ms * work)}, id);
        if (std::exchange(it.is_counted, true))
            return;
        const auto& c = class_of(it);
        const bool on_time = m_now + time_to_first_event <= it.first_arrived + c.goal;
        for (auto* out : counts_of(it))
        {
            ++(on_time ? out->on_time : out->late);
            out->value += value_of(it) * (on_time ? 1 : c.late_fraction);
        }
    }

    pattern m_pattern;
    std::mt19937 m_random;
    std::vector<policy::admission_queue> m_queues;
    timestamp m_now;
    double m_slots = total_slots;
    std::size_t m_turn = 0;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, call> m_calls;
    std::multimap<timestamp, std::uint64_t> m_running;
    std::multimap<timestamp, std::uint64_t> m_retries;
    result m_result;
};

/// The recorded patterns of docs/design/hard_load.md.
inline std::vector<pattern> recorded_patterns()
{
    using ms = milliseconds;
    return {{.name = "burst",
             .bursts = {{2, ms{8000}, ms{13'000}, 2.3}, {0, ms{13'000}, ms{17'000}, 1.6}},
             .frozen_from = ms{12'500},
             .frozen_to = ms{13'500}},
            {.name = "lost rank",
             .base_factor = 250.0 / 220,
             .down_from = ms{8000},
             .down_to = ms{10'900},
             .resumed = 324},
            {.name = "power loss",
             .down_from = ms{8000},
             .down_to = ms{11'000},
             .return_time = ms{1500}}};
}

} // namespace kumquatgap::replay
