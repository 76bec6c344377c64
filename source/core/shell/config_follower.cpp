#include "shell/config_follower.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <random>

namespace kumquatgap::shell
{

using common::failure;
using common::milliseconds;

namespace
{

constexpr milliseconds first_retry_delay{100};
constexpr milliseconds longest_retry_delay{5000};
/// How often a watch is checked for having gone silent.
constexpr milliseconds head_check_period{3000};

/// A delay between half of d and d, so that many processes don't return at once.
milliseconds jittered(milliseconds d)
{
    static std::mt19937_64 s_random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> any{d.count() / 2, d.count()};
    return milliseconds{any(s_random)};
}

} // namespace

config_follower::config_follower(io::event_loop& loop, platform::store& source)
    : m_loop{loop}, m_store{source}, m_retry_delay{first_retry_delay}
{
}

void config_follower::start()
{
    m_head_timer = m_loop.every(head_check_period, [this] { check_head(); });
    read();
}

void config_follower::read()
{
    m_store.range(std::string{config::followed_prefix},
                  [this](auto answer) { take_snapshot(std::move(answer)); });
}

void config_follower::take_snapshot(common::result<platform::range_answer> answer)
{
    if (!answer)
        return lost(answer.error());
    const auto& found = answer.value();
    const auto became = m_replica.adopt(found.as_of, found.items);
    if (became == config::adoption::regressed)
    {
        common::log(common::log_level::error, "config_regressed",
                    {{"store_revision", found.as_of}, {"own_revision", m_replica.as_of()}});
        return retry();
    }
    m_retry_delay = first_retry_delay;
    refresh();
    watch();
}

void config_follower::watch()
{
    m_watch = m_store.start_watch(std::string{config::followed_prefix}, m_replica.as_of() + 1,
                                  {[this](auto as_of, auto changes)
                                   { take_changes(as_of, std::move(changes)); },
                                   [this](const failure& why) { lost(why); }});
}

void config_follower::take_changes(platform::revision as_of, std::vector<platform::change> changes)
{
    m_replica.adopt(config::delta{m_replica.as_of(), as_of, std::move(changes)});
    refresh();
}

void config_follower::lost(const failure& why)
{
    common::log(common::log_level::warn, "store_lost",
                {{"code", common::number(why.code)}, {"detail", why.detail}});
    retry();
}

void config_follower::retry()
{
    m_retry_timer = m_loop.after(jittered(m_retry_delay),
                                 [this]
                                 {
                                     m_watch.reset();
                                     read();
                                 });
    m_retry_delay = std::min(m_retry_delay * 2, longest_retry_delay);
}

/// A watch whose connection has gone silent looks like one without changes. The head key, which
/// every accepted change moves, tells them apart.
void config_follower::check_head()
{
    if (!m_watch)
        return;
    m_store.get(std::string{config::head_key},
                [this](auto answer)
                {
                    if (!answer || !answer.value() || !m_watch)
                        return;
                    if (answer.value()->modified <= m_replica.as_of())
                        return;
                    common::log(common::log_level::warn, "watch_silent",
                                {{"own_revision", m_replica.as_of()},
                                 {"head_revision", answer.value()->modified}});
                    retry();
                });
}

void config_follower::refresh()
{
    if (m_seen_version == m_replica.version())
        return;
    m_seen_version = m_replica.version();
    m_view = std::make_shared<const config::view>(m_replica);
    common::log(common::log_level::info, "config_in_force", {{"revision", m_replica.as_of()}});
    if (m_on_change)
        m_on_change();
}

} // namespace kumquatgap::shell
