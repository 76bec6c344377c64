#include "soak_world.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <sstream>

namespace kumquatgap::soak
{

using common::milliseconds;
using stand_ins::store_mood;

namespace
{

constexpr int gateways = 3;
constexpr int targets_of_service = 3;
constexpr milliseconds tick_period{10};
constexpr std::uint64_t calls_in_ten_ticks = 8;
constexpr std::uint64_t ticks_between_faults = 12;
constexpr std::size_t most_faults_at_once = 4;
/// The longest route takes 6 s, and a paused gateway goes on after at most 2.
constexpr milliseconds longest_call{9000};
/// The grace of the site's gateways is 6 s; a machine that is busy adds some.
constexpr milliseconds longest_stop{8000};
constexpr int calls_to_prove_recovery = 4;
/// As in the settings of the site's gateways. They have so many repeats beyond the ratio that those
/// of a few starts would break the limit.
constexpr stand_ins::repeat_limit repeat_limit{
    .ratio = 0.2, .extra = 60, .window = milliseconds{10'000}};
constexpr int restarts_in_storm = 6;
constexpr milliseconds storm_length{2500};
constexpr auto paths = std::to_array<std::string_view>({"/read/x", "/act/x", "/draft/x"});

} // namespace

soak_world::soak_world(std::uint64_t seed, milliseconds length)
    : m_seed{seed}, m_length{length}, m_random{seed}, m_site{gateways},
      m_is_stopped(gateways, false)
{
    for (const auto* service : {"plain", "engine"})
    {
        for (int i = 0; i < targets_of_service; ++i)
            m_targets.push_back(std::make_unique<soak_target>(
                m_site, m_runs, m_repeats, common::concat(service, "-", i), service));
    }
    m_site.put_config(m_site.config(m_config_version));
    // Read within two seconds, or at the next start.
    for (std::size_t i = 0; i < gateways; ++i)
        m_site.change_settings("extra = 20", common::concat("extra = ", repeat_limit.extra), i);
}

std::uint64_t soak_world::draw(std::uint64_t below)
{
    return m_random() % below;
}

milliseconds soak_world::draw_time(int from_ms, int to_ms)
{
    return milliseconds{from_ms +
                        static_cast<int>(draw(static_cast<std::uint64_t>(to_ms - from_ms)))};
}

void soak_world::broke(const std::string& what)
{
    m_broken.push_back(common::concat("seed ", m_seed, ": ", what));
}

/// Adds the lines of the gateway's log about the call.
void soak_world::broke(const call& it, const std::string& what)
{
    broke(common::concat(it.id, " ", it.path, " at gateway ", it.gateway, " ", what));
    std::istringstream log{m_site.log(it.gateway)};
    const auto name = common::concat(" id=", it.id, " ");
    for (std::string line; std::getline(log, line);)
    {
        if (line.find(name) != std::string::npos)
            m_broken.push_back("  " + line);
    }
}

void soak_world::begin_call(std::size_t gateway, std::string_view path)
{
    call it;
    it.id = common::concat("c", m_calls.size());
    it.path = path;
    m_repeats[it.path == paths[2] ? "engine" : "plain"].record_request(common::now());
    it.open =
        m_site.begin(m_site.request(it.path, it.id, it.path == paths[0] ? "" : "{}"), gateway);
    m_calls.push_back(std::move(it));
}

/// An answer that passes as whole must be the request's own.
void soak_world::check(const call& it)
{
    const auto& result = it.open->result;
    if (result.how != io::call_outcome::complete)
        return it.path == paths[2] ? check_stream(it) : void();
    const auto status = result.answer.status;
    if (status == 200)
        ++m_served;
    else
        ++m_refused;
    if (it.path == paths[2])
        return check_stream(it);
    if (status == 200 && result.answer.body != own_answer(it.id))
        broke(common::concat(
            it.id, " got an answer that is not its own: ", result.answer.body.substr(0, 40)));
}

/// Events come in order, each once; a stream that ends in order has all of them.
void soak_world::check_stream(const call& it)
{
    const auto& result = it.open->result;
    if (result.answer.status != 200)
        return;
    const auto whole = platform_tests::events_text(1, last_event);
    if (!whole.starts_with(it.open->so_far))
        broke(it, "got events out of order");
    if (result.how == io::call_outcome::complete && it.open->so_far != whole)
        broke(it, "got a short stream that ended as if whole");
}

/// Looks at what the targets ran, once nothing is under way any more.
void soak_world::check_counts()
{
    for (const auto& it : m_calls)
    {
        const auto found = m_runs.find(it.id);
        const int runs = found == m_runs.end() ? 0 : found->second;
        const auto status = it.open->result.answer.status;
        const bool says_unrun =
            it.open->result.how == io::call_outcome::complete && (status == 429 || status == 503);
        if (it.path == paths[1] && runs > 1)
            broke(it, common::concat("must not repeat and ran ", runs, " times"));
        if (says_unrun && runs > 0)
            broke(it, common::concat("got ", status, ", but had run"));
    }
}

/// All gateways together, whatever restarted, stay within the budget of repeats in any window.
void soak_world::check_repeats()
{
    for (const auto& [service, it] : m_repeats)
    {
        if (const auto excess = it.most_excess(repeat_limit); excess > 0)
            broke(common::concat("targets of ", service, " got ", std::ceil(excess),
                                 " repeats too many in a window"));
    }
}

void soak_world::later(milliseconds delay, std::function<void()> fn)
{
    m_undos.push_back({common::now() + delay, std::move(fn)});
}

void soak_world::end_faults(bool all)
{
    const auto now = common::now();
    std::vector<undo> due;
    std::erase_if(m_undos,
                  [&](const undo& it)
                  {
                      if (!all && it.at > now)
                          return false;
                      due.push_back(it);
                      return true;
                  });
    for (const auto& it : due)
        it.fn();
}

void soak_world::target_fault()
{
    auto& target = any_target();
    target.set_mood(static_cast<target_mood>(1 + draw(target_moods - 1)));
    later(draw_time(100, 1500), [&target] { target.set_mood(target_mood::answers); });
}

void soak_world::path_fault()
{
    auto& target = any_target();
    const auto kind = draw(5);
    if (kind == 0)
        return target.path().reset_open_connections();
    if (kind == 1)
        return target.path().lose_open_connections();
    target.path().set_mood(static_cast<failures::relay_mood>(kind - 1));
    later(draw_time(50, 1500),
          [&target] { target.path().set_mood(failures::relay_mood::forwards); });
}

void soak_world::store_fault()
{
    if (draw(4) == 0)
        return m_site.store().compact();
    m_site.store().set_mood(draw(2) == 0 ? store_mood::refuses : store_mood::silent);
    later(draw_time(200, 2000), [this] { m_site.store().set_mood(store_mood::serves); });
}

/// Draws from a generator of its own, so that the other faults of a seed stay the same.
void soak_world::plan_restore()
{
    std::mt19937_64 random{m_seed ^ 0x5e70};
    if (random() % 2 == 0)
        return;
    const auto half = static_cast<std::uint64_t>(m_length.count() / 2);
    m_copy_at = common::now() + milliseconds{random() % half};
    m_restore_at = m_copy_at + milliseconds{random() % half};
}

/// The operators and the targets write again what they wrote since the copy.
void soak_world::restore_store_when_due()
{
    const auto now = common::now();
    if (now >= m_copy_at)
    {
        m_copy_at = common::timestamp::max();
        m_site.store().take_copy();
    }
    if (now < m_restore_at)
        return;
    m_restore_at = common::timestamp::max();
    m_site.store().restore();
    m_site.put_config(m_site.config(m_config_version));
    for (const auto& it : m_targets)
        it->put_entry();
}

/// Draws from a generator of its own, as above.
void soak_world::plan_storm()
{
    std::mt19937_64 random{m_seed ^ 0x5702};
    if (random() % 2 == 0)
        return;
    m_storm_at =
        common::now() + milliseconds{random() % static_cast<std::uint64_t>(m_length.count() / 2)};
}

/// Draws from a generator of its own, as above.
void soak_world::plan_repeats()
{
    std::mt19937_64 random{m_seed ^ 0x7e9a};
    if (random() % 2 == 0)
        return;
    for (const auto& it : m_targets)
        it->start_repeating(random());
}

void soak_world::begin_storm_when_due()
{
    if (common::now() < m_storm_at)
        return;
    m_storm_at = common::timestamp::max();
    m_storm_end = common::now() + storm_length;
    for (const auto& it : m_targets)
    {
        it->set_mood(target_mood::fails);
        later(storm_length, [&target = *it] { target.set_mood(target_mood::answers); });
    }
    for (int n = 1; n <= restarts_in_storm; ++n)
        later(storm_length * n / (restarts_in_storm + 1),
              [this, i = static_cast<std::size_t>(n % gateways)]
              {
                  if (!m_is_stopped[i])
                      m_site.restart_gateway(i);
              });
}

void soak_world::state_change()
{
    auto& target = any_target();
    switch (draw(3))
    {
    case 0:
        return m_site.put_config(m_site.config(++m_config_version));
    case 1:
        return target.start_anew();
    default:
        target.remove_entry();
        later(draw_time(50, 1000), [&target] { target.put_entry(); });
    }
}

/// A gateway that is asked to stop must end by itself within its grace, and is started again.
void soak_world::stop_gateway(std::size_t i)
{
    m_is_stopped[i] = true;
    m_site.gateway(i).signal(SIGTERM);
    later(longest_stop,
          [this, i]
          {
              // Time that faults cut short is given back.
              if (!m_site.wait_until([&] { return m_site.gateway(i).has_ended(); }))
                  broke(common::concat("gateway ", i, " did not stop"));
              m_site.restart_gateway(i);
              m_is_stopped[i] = false;
          });
}

void soak_world::gateway_fault()
{
    const auto i = static_cast<std::size_t>(draw(gateways));
    if (m_is_stopped[i])
        return;
    switch (draw(4))
    {
    case 0:
        m_is_stopped[i] = true;
        m_site.gateway(i).kill();
        return later(draw_time(50, 800),
                     [this, i]
                     {
                         m_site.restart_gateway(i);
                         m_is_stopped[i] = false;
                     });
    case 1:
        m_is_stopped[i] = true;
        m_site.gateway(i).signal(SIGSTOP);
        return later(draw_time(50, 2000),
                     [this, i]
                     {
                         m_site.gateway(i).signal(SIGCONT);
                         m_is_stopped[i] = false;
                     });
    case 2:
        return m_site.gateway(i).signal(SIGHUP);
    default:
        return stop_gateway(i);
    }
}

void soak_world::begin_fault()
{
    ++m_faults;
    switch (draw(6))
    {
    case 0:
    case 1:
        return target_fault();
    case 2:
        return path_fault();
    case 3:
        return store_fault();
    case 4:
        return state_change();
    default:
        return gateway_fault();
    }
}

void soak_world::tick()
{
    m_site.run_for(tick_period);
    end_faults(false);
    for (auto& it : m_calls)
    {
        if (!it.is_checked && it.open->result.ended)
        {
            it.is_checked = true;
            check(it);
        }
    }
    for (std::size_t i = 0; i < gateways; ++i)
    {
        if (m_is_stopped[i] || !m_site.gateway(i).has_ended())
            continue;
        broke(common::concat("gateway ", i, " ended by itself with status ",
                             m_site.gateway(i).status()));
        m_site.restart_gateway(i);
    }
}

/// Once all faults are over, each gateway serves every route again.
void soak_world::check_recovery()
{
    for (std::size_t i = 0; i < gateways; ++i)
    {
        if (!m_site.wait_ready(i))
            broke(common::concat("gateway ", i, " is not ready after all faults"));
        int good = 0;
        const bool serves = m_site.wait_until(
            [&]
            {
                const auto before = m_served;
                begin_call(i, paths[draw(paths.size())]);
                const auto open = m_calls.back().open;
                m_site.wait_until([&] { return open->result.ended; });
                tick();
                good = m_served > before ? good + 1 : 0;
                return good == calls_to_prove_recovery;
            });
        if (!serves)
            broke(common::concat("gateway ", i, " does not serve after all faults"));
    }
}

std::vector<std::string> soak_world::run()
{
    for (std::size_t i = 0; i < gateways; ++i)
        m_site.wait_ready(i);
    plan_restore();
    plan_storm();
    plan_repeats();
    const auto end = common::now() + m_length;
    while (common::now() < end)
    {
        tick();
        restore_store_when_due();
        begin_storm_when_due();
        if (draw(10) < calls_in_ten_ticks)
            begin_call(draw(gateways), paths[draw(paths.size())]);
        if (common::now() < m_storm_end)
            begin_call(m_calls.size() % gateways, paths[0]);
        if (draw(ticks_between_faults) == 0 && m_undos.size() < most_faults_at_once)
            begin_fault();
    }
    end_faults(true);
    std::ranges::for_each(m_targets, [](const auto& it) { it->stop_repeating(); });
    const auto limit = common::now() + longest_call;
    const auto is_open = [](const call& it) { return !it.open->result.ended; };
    while (common::now() < limit && std::ranges::any_of(m_calls, is_open))
        tick();
    for (const auto& it : m_calls)
    {
        if (is_open(it))
            broke(it, common::concat("has no end after ", it.open->so_far.size(), " bytes"));
    }
    check_recovery();
    check_counts();
    check_repeats();
    return m_broken;
}

std::string soak_world::summary() const
{
    return common::concat("seed ", m_seed, ": ", m_calls.size(), " calls, ", m_served, " served, ",
                          m_refused, " refused or failed, ", m_faults, " faults, ", m_broken.size(),
                          " broken");
}

} // namespace kumquatgap::soak
