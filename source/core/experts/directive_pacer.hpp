#pragma once

#include "experts/byte_allowance.hpp"
#include "experts/switch_message.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace kumquatgap::experts
{

/// The rates of a pacer.
struct pacer_options
{
    /// What directives may take of the controller's link; the owner works it out from the settings.
    double bytes_per_s = 800'000;
    /// Bytes that may go out at once.
    double burst_bytes = byte_allowance::usual_burst;
    /// A rank that has not confirmed a directive is told again after this, or after the time
    /// that telling all ranks takes, if that is longer.
    milliseconds shortest_repeat{50};
    /// Ranks that one agent passes a directive on to, at least.
    std::size_t relay_fan = 7;
};

/// A rank that is told of a directive, and those that its agent passes it on to.
struct telling
{
    rank_number rank = 0;
    std::vector<rank_number> passed_on;
};

/// Decides which ranks the controller tells of its directive now. Load pattern: a new map for all
/// ranks of a large group, over a link that such a burst fills; news that are sent again
/// before the first have arrived would keep it full and crowd out the renewal of the lease. A
/// directive that doesn't fit the link at once goes out through agents that pass it on; whoever
/// does not confirm it in the time that this takes is told directly.
class directive_pacer
{
public:
    explicit directive_pacer(pacer_options options)
        : m_options{options}, m_allowance{options.bytes_per_s, options.burst_bytes}
    {
    }

    /// The rank of the controller's own host, which is told without the link and passes nothing on:
    /// that would take the link twice at once.
    void set_own_rank(rank_number it) { m_own_rank = it; }
    /// The ranks that are to be told now, out of those that have not confirmed the directive yet,
    /// in the order of importance. `bytes` is the size of one message.
    std::vector<telling> take_due(const std::vector<rank_number>& unconfirmed,
                                  std::int64_t directive_number, std::size_t bytes, timestamp now);

private:
    struct last_telling
    {
        std::int64_t directive_number = 0;
        timestamp at;
        /// It was told with others, of which some had to pass it on.
        bool by_relay = false;
    };

    /// How long tellings of some messages of a size take.
    milliseconds time_of(std::size_t messages, std::size_t bytes) const;

    bool was_told(rank_number rank, std::int64_t directive_number) const;
    bool is_due(rank_number rank, std::int64_t directive_number, std::size_t ranks,
                std::size_t bytes, timestamp now) const;

    pacer_options m_options;
    std::map<rank_number, last_telling> m_told;
    rank_number m_own_rank = -1;
    std::int64_t m_directive_number = 0;
    /// Ranks that one agent passes the current directive on to.
    std::size_t m_fan = 0;
    byte_allowance m_allowance;
};

} // namespace kumquatgap::experts
