#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquatgap::fleet
{

using common::milliseconds;
using common::timestamp;

/// Targets by id that said that they leave, with the start that said so, in Unix milliseconds; 0
/// where targets do not tell when they started.
using leaving_targets = std::map<std::string, std::int64_t>;

/// What targets have said of themselves in their answers, which goes before their entries in the
/// store. Load pattern: a release or a scale-in while the store is away or lags, so that a target
/// that leaves still has a good entry; an overloaded target that asks to be left alone.
///
/// A notice outlives the entry, which may lapse and come back, and ends when the target starts
/// anew.
class target_notices
{
public:
    /// A notice of a target that does not tell when it started ends after this: longer than any
    /// target has been seen to serve after its notice, and shorter than an id is out of use.
    static constexpr milliseconds unknown_start_kept{60'000};
    /// A target that asks for more time is asked again after this.
    static constexpr milliseconds longest_busy{3'600'000};

    /// The target takes no new work, by its own word or that of another gateway. True when that is
    /// news.
    bool note_leaving(const std::string& id, std::int64_t started_at, timestamp now);
    /// The target wants nothing from this gateway for some time. True when it wanted some before.
    bool note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                   timestamp now);
    /// An entry says when the target started; notices of an earlier start end.
    void entry_written(const std::string& id, std::int64_t started_at);

    bool is_leaving(const std::string& id, timestamp now) const;
    /// When the target takes work again; none when it does now.
    std::optional<timestamp> busy_until(const std::string& id, timestamp now) const;
    /// The targets that leave, for the other gateways.
    leaving_targets leaving(timestamp now) const;
    /// Forgets what no longer holds.
    void prune(timestamp now);

private:
    struct notice
    {
        std::int64_t started_at = 0;
        std::optional<timestamp> leaves_since;
        timestamp busy_until;
    };

    static bool is_leaving(const notice& it, timestamp now);
    notice& notice_of(const std::string& id, std::int64_t started_at);

    std::map<std::string, notice> m_notices;
};

} // namespace kumquatgap::fleet
