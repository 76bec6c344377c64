#include "common/log.hpp"
#include "gateway/state_follower.hpp"

#include <chrono>

namespace kumquatgap::gateway
{

using common::milliseconds;

namespace
{

void log_cold(const std::string& id, const fleet::cold_notice& it, std::string_view heard_from)
{
    common::log(common::log_level::info, "target_cold",
                {{"target", id},
                 {"started_at", it.started_at},
                 {"for_ms", (it.until - common::now()).count()},
                 {"heard_from", heard_from}});
}

/// The time since a Unix time in milliseconds, by this host's calendar clock.
milliseconds time_since(std::int64_t unix_ms)
{
    const auto now = std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    return now.time_since_epoch() - milliseconds{unix_ms};
}

} // namespace

void state_follower::note_cold(const std::string& id, const fleet::cold_notice& it,
                               std::string_view peer)
{
    const auto from = peer.empty() ? fleet::notice_source::answer : fleet::notice_source::peer;
    if (m_targets.note_cold(id, it, from))
        log_cold(id, it, peer.empty() ? "answer" : peer);
}

void state_follower::note_entry_cold(fleet::target& it)
{
    // The first read of the store shows entries of any age. Later, what is new to this gateway was
    // written since its last look.
    const bool is_first_read = !m_applied_era;
    if (is_first_read && it.started_at != 0)
        it.age = time_since(it.started_at);
    const auto now = common::now();
    if (!m_targets.note_entry_cold(it, now))
        return;
    const auto cold = m_targets.notices().cold_period_of(it.id, now);
    log_cold(it.id, {it.started_at, cold ? cold->until : now, now}, "entry");
}

} // namespace kumquatgap::gateway
