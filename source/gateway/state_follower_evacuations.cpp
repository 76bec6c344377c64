#include "common/log.hpp"
#include "gateway/state_follower.hpp"

#include <algorithm>

/// The part of a state follower that keeps the evacuations of data centres up to date.
namespace kumquatgap::gateway
{

void state_follower::begin_evacuation(const std::string& data_centre, const kv::key_value& it)
{
    if (!m_evacuations.begin(data_centre, common::now()))
        return;
    common::log(common::log_level::warn, "evacuation_begun",
                {{"data_centre", data_centre},
                 {"revision", it.mod_revision},
                 {"era", m_gossip.replica().era()},
                 {"learnt_by", m_learnt_by}});
}

void state_follower::end_evacuation(const std::string& data_centre, entry_change how)
{
    if (how != entry_change::lost)
    {
        if (m_evacuations.end(data_centre))
            log_evacuation_end(data_centre, "removed");
        return;
    }
    m_evacuations.lose(data_centre, common::now());
    common::log(common::log_level::warn, "evacuation_lost",
                {{"data_centre", data_centre},
                 {"revision", as_of()},
                 {"era", m_gossip.replica().era()},
                 {"learnt_by", m_learnt_by},
                 {"ends_in_ms", fleet::evacuations::rewrite_grace.count()}});
    schedule_evacuation_end();
}

void state_follower::schedule_evacuation_end()
{
    const auto at = m_evacuations.next_end();
    if (!at)
        return m_evacuation_timer.reset();
    // A millisecond later, since the timer may run a fraction of one early.
    const auto wait = std::max(*at - common::now(), common::milliseconds{0});
    m_evacuation_timer =
        m_loop.after(wait + common::milliseconds{1}, [this] { expire_evacuations(); });
}

/// Ends the evacuations whose keys were not written again after the store was restored.
void state_follower::expire_evacuations()
{
    const auto ended = m_evacuations.take_expired(common::now());
    m_learnt_by = "timer";
    for (const auto& it : ended)
        log_evacuation_end(it, "not_written_again");
    // Deferred, since the timer's own function is running.
    m_loop.defer([this] { schedule_evacuation_end(); });
    if (!ended.empty() && m_on_change)
        m_on_change();
}

void state_follower::log_evacuation_end(const std::string& data_centre,
                                        std::string_view reason) const
{
    common::log(common::log_level::warn, "evacuation_ended",
                {{"data_centre", data_centre},
                 {"reason", reason},
                 {"revision", as_of()},
                 {"era", m_gossip.replica().era()},
                 {"learnt_by", m_learnt_by}});
}

} // namespace kumquatgap::gateway
