#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <functional>
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

/// Who has heard a target say something.
enum class notice_source : std::uint8_t
{
    /// This gateway, in an answer.
    answer,
    /// Another gateway.
    peer
};

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
    /// A notice of a target without an entry is kept for this long, in case the entry comes back.
    static constexpr milliseconds without_entry_kept{600'000};
    /// The other gateways are told for this long: datagrams get lost, and a gateway may be cut off.
    static constexpr milliseconds told_for{30'000};
    /// A target that asks for more time is asked again after this.
    static constexpr milliseconds longest_busy{3'600'000};

    /// The target takes no new work, by its own word or that of another gateway. True when that is
    /// news.
    bool note_leaving(const std::string& id, std::int64_t started_at, notice_source from,
                      timestamp now);
    /// The target wants nothing from this gateway for some time. True when it wanted some before.
    bool note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                   timestamp now);
    /// An entry says when the target started; notices of an earlier start end.
    void entry_written(const std::string& id, std::int64_t started_at);

    bool is_leaving(const std::string& id, timestamp now) const;
    /// When the target takes work again; none when it does now.
    std::optional<timestamp> busy_until(const std::string& id, timestamp now) const;
    /// The targets that this gateway itself has lately heard to leave, for the others. What it has
    /// from them is not told on, so that no notice goes round for ever.
    leaving_targets to_tell(timestamp now) const;
    /// Forgets what no longer holds; `has_entry` tells whether a target has one.
    void prune(const std::function<bool(const std::string&)>& has_entry, timestamp now);

private:
    struct notice
    {
        std::int64_t started_at = 0;
        std::optional<timestamp> leaves_since;
        /// When an answer said so last.
        std::optional<timestamp> heard_at;
        timestamp busy_until;
    };

    static bool is_leaving(const notice& it, timestamp now);
    notice& notice_of(const std::string& id, std::int64_t started_at);

    std::map<std::string, notice> m_notices;
};

} // namespace kumquatgap::fleet
