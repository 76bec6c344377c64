#pragma once

#include "policy/shared_rate_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace kumquatgap::policy
{

/// One gateway of a simulated fleet.
struct simulated_gateway
{
    std::string name;
    /// Calls per second that its callers want to make.
    double demand = 0;
    /// It starts at this time, and knows no sends.
    milliseconds starts_at{-10'000};
    /// It learns of the target, and that it is cold, at this time. Before, it can't send to it.
    milliseconds learns_at{0};
    /// It starts again at this time; never if negative.
    milliseconds restarts_at{-1};
    /// False for a gateway that the others have not seen in the store.
    bool is_known = true;
    shared_rate_limiter limiter{};
};

/// A cold target behind gateways that send to it as often as they may. Messages between gateways
/// and requests to the target take time.
struct cold_rate_simulation
{
    std::vector<simulated_gateway> gateways;
    double cold_per_second = 26;
    unsigned lost_percent = 0;
    /// From this time on all messages are lost; never if negative.
    milliseconds cut_at{-1};
    milliseconds message_time{5};
    /// A request arrives up to this long after it was sent.
    milliseconds max_request_time{150};
    milliseconds duration{5000};
    std::vector<timestamp> arrivals;

    static constexpr milliseconds step{5};
    static constexpr milliseconds tick{25};
    static constexpr timestamp start{milliseconds{1'000'000}};
    inline static const std::string target = "t-0";

    void run(unsigned seed)
    {
        m_random.seed(seed);
        for (auto& it : gateways)
            it.limiter = shared_rate_limiter{{}, start + it.starts_at};
        for (auto now = start; now < start + duration; now += step)
        {
            deliver(now);
            const bool is_tick = (now - start) % tick == milliseconds{0};
            for (auto& it : gateways)
                run_step(it, is_tick, now);
        }
        std::ranges::sort(arrivals);
    }

    /// The most requests that arrive within one second.
    std::size_t most_in_a_second() const
    {
        std::ptrdiff_t most = 0;
        for (auto it = arrivals.begin(); it != arrivals.end(); ++it)
            most =
                std::max(most, std::upper_bound(it, arrivals.end(), *it + milliseconds{1000}) - it);
        return static_cast<std::size_t>(most);
    }

    std::size_t allowed() const
    {
        return static_cast<std::size_t>(std::floor(cold_per_second * 1.5 + 5));
    }

private:
    struct message
    {
        timestamp at;
        std::string from;
        recent_sends sends;
    };

    void run_step(simulated_gateway& it, bool is_tick, timestamp now)
    {
        if (it.restarts_at.count() >= 0 && now == start + it.restarts_at)
            it.limiter = shared_rate_limiter{{}, now};
        if (now < start + it.starts_at || now < start + it.learns_at)
            return;
        if (is_tick)
        {
            it.limiter.set_limited({target}, now);
            it.limiter.set_watched({target}, now);
            it.limiter.set_gateways(it.name, others_of(it), now);
            m_messages.push_back({now + message_time, it.name,
                                  it.limiter.to_broadcast({{target, cold_per_second}}, now)});
        }
        const auto p = it.demand * static_cast<double>(step.count()) / 1000;
        if (draw() >= p || !it.limiter.may_send(target, cold_limit(cold_per_second),
                                                others_of(it).size() + 1, now))
            return;
        it.limiter.record_send(target, now);
        arrivals.push_back(now + milliseconds{static_cast<std::int64_t>(
                                     draw() * static_cast<double>(max_request_time.count()))});
    }

    std::vector<std::string> others_of(const simulated_gateway& own) const
    {
        std::vector<std::string> out;
        for (const auto& it : gateways)
        {
            if (it.name != own.name && it.is_known)
                out.push_back(it.name);
        }
        return out;
    }

    void deliver(timestamp now)
    {
        const bool is_cut = cut_at.count() >= 0 && now >= start + cut_at;
        for (const auto& m : m_messages)
        {
            if (m.at > now)
                continue;
            for (auto& it : gateways)
            {
                if (it.name != m.from && !is_cut && now >= start + it.starts_at &&
                    m_random() % 100 >= lost_percent)
                    it.limiter.update_peer_sends(m.from, m.sends, now);
            }
        }
        std::erase_if(m_messages, [&](const auto& m) { return m.at <= now; });
    }

    double draw() { return std::uniform_real_distribution<double>{0, 1}(m_random); }

    std::mt19937_64 m_random;
    std::vector<message> m_messages;
};

/// Gateways of equal demand.
inline cold_rate_simulation simulation_of(std::size_t gateways, double demand)
{
    cold_rate_simulation out;
    for (std::size_t i = 0; i < gateways; ++i)
        out.gateways.push_back({.name = "g" + std::to_string(i), .demand = demand});
    return out;
}

} // namespace kumquatgap::policy
