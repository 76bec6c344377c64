#include "policy/target_queue.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <random>

using namespace kumquatgap;
using policy::milliseconds;
using policy::timestamp;

namespace
{

constexpr std::int64_t slots = 32;
constexpr double short_ms = 1500;
constexpr double long_ms = 45'000;
constexpr std::int64_t run_ms = 1'200'000;

/// What arrives in one run.
struct workload
{
    /// The part of the slots' time that is asked for before the rush.
    double load = 0.8;
    /// The part of that time that long calls ask for.
    double long_part = 0.3;
    /// How many times the calls of before arrive while a rush lasts.
    double rush = 1;
    /// Length estimates are wrong by up to this factor, either way.
    double estimate_error = 1;
};

/// One call of a run.
struct arrival
{
    timestamp at;
    bool is_long = false;
    milliseconds length{0};
    milliseconds predicted{0};
};

/// What callers got.
struct outcome
{
    std::vector<double> short_waits;
    std::vector<double> long_slowdowns;
    std::size_t refused = 0;
};

double quantile(std::vector<double> values, double q)
{
    std::ranges::sort(values);
    return values.empty()
               ? 0
               : values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

bool is_in_rush(std::int64_t ms)
{
    constexpr std::int64_t period = 120'000;
    constexpr std::int64_t length = 10'000;
    return ms % period < length;
}

std::vector<arrival> make_arrivals(const workload& w, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::vector<arrival> out;
    const double slot_ms = w.load * static_cast<double>(slots);
    const double short_rate = slot_ms * (1 - w.long_part) / short_ms;
    const double long_rate = slot_ms * w.long_part / long_ms;
    std::exponential_distribution<double> unit{1};
    std::uniform_real_distribution<double> spread{0.5, 1.5};
    std::uniform_real_distribution<double> error{-1, 1};
    for (const bool is_long : {false, true})
    {
        const double rate = is_long ? long_rate : short_rate;
        if (rate == 0)
            continue;
        for (double t = 0; t < run_ms;)
        {
            const bool rushed = !is_long && is_in_rush(static_cast<std::int64_t>(t));
            t += unit(random) / (rushed ? rate * w.rush : rate);
            const double length = (is_long ? long_ms : short_ms) * spread(random);
            const double predicted = length * std::pow(w.estimate_error, error(random));
            out.push_back({timestamp{milliseconds{static_cast<std::int64_t>(t)}}, is_long,
                           milliseconds{static_cast<std::int64_t>(length)},
                           milliseconds{static_cast<std::int64_t>(predicted)}});
        }
    }
    std::ranges::sort(out, {}, &arrival::at);
    return out;
}

/// First in, first out, nothing refused: the baseline.
class fifo_queue
{
public:
    bool offer(std::uint64_t id, const arrival& /*it*/, timestamp /*now*/)
    {
        m_waiting.push_back(id);
        return true;
    }
    std::vector<std::uint64_t> start_ready(timestamp /*now*/)
    {
        std::vector<std::uint64_t> out;
        for (; !m_waiting.empty() && m_running < slots; ++m_running)
        {
            out.push_back(m_waiting.front());
            m_waiting.pop_front();
        }
        return out;
    }
    void finished(std::uint64_t /*id*/, timestamp /*now*/) { --m_running; }
    std::vector<std::uint64_t> calls_to_preempt(timestamp /*now*/) const { return {}; }
    void preempted(std::uint64_t /*id*/, milliseconds /*left*/, timestamp /*now*/) {}

private:
    std::deque<std::uint64_t> m_waiting;
    std::int64_t m_running = 0;
};

/// The agent's queue, with one team for quotes and one for summaries.
class agent_queue
{
public:
    agent_queue(std::int64_t reserve_percent, bool pauses, std::int64_t quotes_percent = 70)
        : m_pauses{pauses}, m_queue{{.slots = slots,
                                     .max_waiting = 100'000,
                                     .short_reserve_percent = reserve_percent}}
    {
        m_queue.set_share("quotes", quotes_percent);
        m_queue.set_share("summaries", 100 - quotes_percent);
    }
    bool offer(std::uint64_t id, const arrival& it, timestamp now)
    {
        constexpr milliseconds patience{600'000};
        return m_queue
            .offer({.id = id,
                    .team = it.is_long ? "summaries" : "quotes",
                    .level = it.is_long ? 5 : 2,
                    .predicted = it.predicted,
                    .start_by = now + patience,
                    .preemptible = m_pauses},
                   now)
            .has_value();
    }
    std::vector<std::uint64_t> start_ready(timestamp now) { return m_queue.start_ready(now); }
    void finished(std::uint64_t id, timestamp now) { m_queue.finished(id, now); }
    std::vector<std::uint64_t> calls_to_preempt(timestamp now) const
    {
        return m_queue.calls_to_preempt(now);
    }
    void preempted(std::uint64_t id, milliseconds left, timestamp now)
    {
        m_queue.preempted(id, left, now);
    }

private:
    bool m_pauses;
    policy::target_queue m_queue;
};

/// What an interrupted call's prompt and text cost when it goes on.
constexpr milliseconds resume_cost{300};

/// Arrivals and slots as plain arithmetic before one queue.
template <class Queue>
class target_run
{
public:
    target_run(const std::vector<arrival>& arrivals, Queue queue)
        : m_arrivals{arrivals}, m_queue{std::move(queue)}, m_states(arrivals.size())
    {
        for (std::size_t i = 0; i < arrivals.size(); ++i)
            m_states[i].left = arrivals[i].length;
    }

    outcome run()
    {
        for (std::uint64_t next = 0; next < m_arrivals.size() || !m_ends.empty();)
        {
            if (!m_ends.empty() &&
                (next == m_arrivals.size() || m_ends.top().at <= m_arrivals[next].at))
            {
                finish_first();
                continue;
            }
            const auto& it = m_arrivals[next];
            m_out.refused += m_queue.offer(next, it, it.at) ? 0 : 1;
            ++next;
            start(it.at);
        }
        return m_out;
    }

private:
    struct state
    {
        milliseconds left{0};
        timestamp started;
        int run_number = 0;
        bool has_started = false;
    };
    struct end
    {
        timestamp at;
        std::uint64_t id;
        int run_number;
        bool operator>(const end& other) const { return at > other.at; }
    };

    void finish_first()
    {
        const auto it = m_ends.top();
        m_ends.pop();
        auto& s = m_states[it.id];
        if (s.run_number != it.run_number)
            return;
        m_queue.finished(it.id, it.at);
        const auto& a = m_arrivals[it.id];
        if (a.is_long)
            m_out.long_slowdowns.push_back(static_cast<double>((it.at - a.at).count()) /
                                           static_cast<double>(a.length.count()));
        start(it.at);
    }

    void start(timestamp now)
    {
        start_ready(now);
        for (const auto id : m_queue.calls_to_preempt(now))
        {
            auto& s = m_states[id];
            s.left = s.left - (now - s.started) + resume_cost;
            ++s.run_number;
            const auto& a = m_arrivals[id];
            const auto part =
                static_cast<double>(s.left.count()) / static_cast<double>(a.length.count());
            m_queue.preempted(id,
                              milliseconds{static_cast<std::int64_t>(
                                  static_cast<double>(a.predicted.count()) * part)},
                              now);
        }
        start_ready(now);
    }

    void start_ready(timestamp now)
    {
        for (const auto id : m_queue.start_ready(now))
        {
            auto& s = m_states[id];
            s.started = now;
            m_ends.push({now + s.left, id, s.run_number});
            const auto& a = m_arrivals[id];
            if (!std::exchange(s.has_started, true) && !a.is_long)
                m_out.short_waits.push_back(static_cast<double>((now - a.at).count()));
        }
    }

    const std::vector<arrival>& m_arrivals;
    Queue m_queue;
    std::vector<state> m_states;
    std::priority_queue<end, std::vector<end>, std::greater<>> m_ends;
    outcome m_out;
};

template <class Queue>
outcome run(const std::vector<arrival>& arrivals, Queue queue)
{
    return target_run<Queue>{arrivals, std::move(queue)}.run();
}

void print(std::string_view name, const workload& w, const outcome& o)
{
    double sum = 0;
    for (const auto it : o.long_slowdowns)
        sum += it;
    const double mean =
        o.long_slowdowns.empty() ? 0 : sum / static_cast<double>(o.long_slowdowns.size());
    std::cout << fmt::format(
        "{:24}  {:4.1f}  {:4.1f}  {:4.1f}  {:5.1f}  {:8.0f}  {:8.0f}  {:8.0f}  {:9.2f}  {:7}\n",
        name, w.load, w.long_part, w.rush, w.estimate_error, quantile(o.short_waits, 0.5),
        quantile(o.short_waits, 0.95), quantile(o.short_waits, 0.99), mean, o.refused);
}

} // namespace

/// Short calls behind long ones: the agent's queue against first in, first out.
int main()
{
    constexpr std::uint64_t seed = 20261204;
    std::cout
        << "32 slots, short calls of 1.5 s, long ones of 45 s, 20 minutes, a rush of 10 s every "
           "2 minutes; short waits in ms\n"
        << "queue                     load  long  rush  error       p50       p95       p99  "
           "long_slow  refused\n";
    for (const workload& w :
         {workload{0.8, 0, 3, 1}, workload{0.8, 0.3, 1, 1}, workload{0.8, 0.3, 3, 1},
          workload{0.8, 0.3, 3, 3}, workload{0.8, 0.6, 1, 1}, workload{0.95, 0.3, 1, 1}})
    {
        const auto arrivals = make_arrivals(w, seed);
        auto short_only = arrivals;
        std::erase_if(short_only, [](const arrival& it) { return it.is_long; });
        print("short calls alone, fifo", w, run(short_only, fifo_queue{}));
        print("fifo (baseline)", w, run(arrivals, fifo_queue{}));
        print("agent, no reserve", w, run(arrivals, agent_queue{0, false}));
        print("agent, reserve 25 %", w, run(arrivals, agent_queue{25, false}));
        print("agent, reserve 50 %", w, run(arrivals, agent_queue{50, false}));
        print("agent, 25 %, pauses", w, run(arrivals, agent_queue{25, true}));
        print("  the same, vote 95 to 5", w, run(arrivals, agent_queue{25, true, 95}));
    }
}
