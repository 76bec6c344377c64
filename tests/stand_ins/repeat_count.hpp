#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::stand_ins
{

/// The limit on the repeats of a service's requests, over all gateways.
struct repeat_limit
{
    double ratio = 0.2;
    double extra = 0;
    common::milliseconds window{10'000};
};

/// Counts the requests for a service and what arrives at its targets.
class repeat_count
{
public:
    void record_request(common::timestamp now) { m_requests.push_back(now); }
    void record_arrival(const std::string& id, common::timestamp now);
    /// The arrivals beyond the first of their request.
    std::size_t repeats() const { return m_repeats.size(); }
    /// By how much the repeats in some window exceed what is allowed there; not above 0 when the
    /// limit holds. The requests are counted in that window, the one before it or the one half a
    /// window earlier, whichever has most.
    double most_excess(const repeat_limit& limit) const;

private:
    double allowed_from(common::timestamp start, const repeat_limit& limit) const;

    std::vector<common::timestamp> m_requests;
    std::vector<common::timestamp> m_repeats;
    std::set<std::string> m_seen;
};

} // namespace kumquatgap::stand_ins
