#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace kumquatgap::experts
{

/// How often experts were chosen, by set and expert.
using selection_counts = std::vector<std::vector<std::int64_t>>;

/// The selections between two readings of a rank's counters, which list the experts of the first
/// set, then those of the second, and so on. Empty when the rank has reset its counters in between,
/// or when their number is not a multiple of `sets`.
selection_counts selections_since(const std::vector<std::int64_t>& before,
                                  const std::vector<std::int64_t>& now, std::size_t sets);

/// Adds up selections of several ranks until the sum is sent. It needs no order: late counts go to
/// the next sum, and a rank that is missing only makes it smaller.
class selection_sum
{
public:
    /// Adds counts of an epoch. Those of an earlier one are ignored; a later one starts a new sum.
    void add(std::int64_t epoch, const selection_counts& counts);
    /// Returns the sum and resets it.
    selection_counts take() { return std::exchange(m_sum, {}); }
    void clear() { m_sum.clear(); }

    bool empty() const { return m_sum.empty(); }
    std::int64_t epoch() const { return m_epoch; }
    std::size_t sets() const { return m_sum.size(); }
    /// The number of experts of one set.
    std::size_t experts() const { return m_sum.empty() ? 0 : m_sum.front().size(); }

private:
    std::int64_t m_epoch = 0;
    selection_counts m_sum;
};

} // namespace kumquatgap::experts
