#include "repeat_count.hpp"

#include <algorithm>
#include <limits>

namespace kumquatgap::stand_ins
{

namespace
{

using times = std::vector<common::timestamp>;

/// The entries of an ordered list in a window.
double count_from(const times& all, common::timestamp start, common::milliseconds window)
{
    return static_cast<double>(std::ranges::lower_bound(all, start + window) -
                               std::ranges::lower_bound(all, start));
}

} // namespace

void repeat_count::record_arrival(const std::string& id, common::timestamp now)
{
    if (!m_seen.insert(id).second)
        m_repeats.push_back(now);
}

double repeat_count::allowed_from(common::timestamp start, const repeat_limit& limit) const
{
    const auto requests = std::max({count_from(m_requests, start, limit.window),
                                    count_from(m_requests, start - limit.window / 2, limit.window),
                                    count_from(m_requests, start - limit.window, limit.window)});
    return limit.ratio * requests + limit.extra;
}

double repeat_count::most_excess(const repeat_limit& limit) const
{
    auto out = std::numeric_limits<double>::lowest();
    for (const auto start : m_repeats)
        out =
            std::max(out, count_from(m_repeats, start, limit.window) - allowed_from(start, limit));
    return out;
}

} // namespace kumquatgap::stand_ins
