#pragma once

#include "experts/byte_rate_limiter.hpp"
#include "experts/switch_message.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace kumquatgap::experts
{

/// Rate limits of a directive_pacer.
struct pacer_options
{
    /// Capacity for directives on the controller's link; the owner derives it from the settings.
    double bytes_per_s = 800'000;
    /// Maximum number of bytes sent at once.
    double burst_bytes = byte_rate_limiter::default_burst_bytes;
    /// Minimum time before a directive is resent to a rank that has not confirmed it; longer if
    /// sending it to all ranks takes longer.
    milliseconds min_resend_interval{50};
    /// Lower bound for the number of ranks that one agent may forward a directive to.
    std::size_t min_fanout = 7;
};

/// A rank to send a directive to, and the ranks that its agent forwards it to.
struct directive_send
{
    rank_number rank = 0;
    std::vector<rank_number> forward_to;
};

/// Selects the ranks that the controller sends its directive to now. A new map for all ranks of a
/// large group fills the controller's link. Resending it before the first copies have arrived would
/// keep the link full and delay lease renewals. A directive that exceeds the burst is therefore
/// sent through agents that forward it, and resent directly to ranks that do not confirm it in the
/// time this takes.
class directive_pacer
{
public:
    explicit directive_pacer(pacer_options options)
        : m_options{options}, m_rate_limiter{options.bytes_per_s, options.burst_bytes}
    {
    }

    /// Sets the rank on the controller's own host. Messages to it do not use the link, and it
    /// forwards nothing, since that would use the controller's link a second time.
    void set_own_rank(rank_number it) { m_own_rank = it; }
    /// Returns the ranks to send the directive to now. `unconfirmed` lists the ranks that have not
    /// confirmed it yet, in order of priority; `bytes` is the size of one message.
    std::vector<directive_send> take_due(const std::vector<rank_number>& unconfirmed,
                                         std::int64_t directive_number, std::size_t bytes,
                                         timestamp now);

private:
    struct last_send
    {
        std::int64_t directive_number = 0;
        timestamp at;
        /// Was sent through relays, either as a relay or as a recipient.
        bool uses_relays = false;
    };

    /// Time that sending a number of messages of one size takes.
    milliseconds send_time(std::size_t messages, std::size_t bytes) const;

    bool was_sent(rank_number rank, std::int64_t directive_number) const;
    bool is_due(rank_number rank, std::int64_t directive_number, std::size_t ranks,
                std::size_t bytes, timestamp now) const;

    pacer_options m_options;
    std::map<rank_number, last_send> m_last_sends;
    rank_number m_own_rank = -1;
    std::int64_t m_directive_number = 0;
    /// Maximum number of ranks that one agent forwards the current directive to.
    std::size_t m_fanout = 0;
    byte_rate_limiter m_rate_limiter;
};

} // namespace kumquatgap::experts
