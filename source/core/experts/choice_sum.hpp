#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace kumquatgap::experts
{

/// How often experts were chosen, by set and expert.
using choice_table = std::vector<std::vector<std::int64_t>>;

/// What was chosen between two readings of a rank's counts, which list the experts of the first
/// set, then those of the second, and so on. Empty when the rank has counted anew in between.
choice_table chosen_since(const std::vector<std::int64_t>& before,
                          const std::vector<std::int64_t>& now, std::size_t sets);

/// Adds up what several ranks chose until it is sent on. It needs no order: what is late counts in
/// the next sum, and a rank that is missing only makes it smaller.
class choice_sum
{
public:
    /// Adds choices of an epoch; those of an earlier one are passed over.
    void add(std::int64_t epoch, const choice_table& choices);
    /// The sum, which starts anew.
    choice_table take() { return std::exchange(m_sum, {}); }
    void clear() { m_sum.clear(); }

    bool empty() const { return m_sum.empty(); }
    std::int64_t epoch() const { return m_epoch; }
    std::size_t sets() const { return m_sum.size(); }
    /// Those of one set.
    std::size_t experts() const { return m_sum.empty() ? 0 : m_sum.front().size(); }

private:
    std::int64_t m_epoch = 0;
    choice_table m_sum;
};

} // namespace kumquatgap::experts
