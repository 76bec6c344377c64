#include "fleet/target_slowdown.hpp"

#include "common/text.hpp"

#include <cmath>
#include <cstdint>

namespace kumquatgap::fleet
{

namespace
{

constexpr double thousandths = 1000;
constexpr std::int64_t max_thousandths = 1'000'000;

} // namespace

std::string slowdown_to_text(double slowdown)
{
    return common::concat(std::llround(slowdown * thousandths));
}

std::optional<double> slowdown_from_text(std::string_view text)
{
    std::int64_t n = 0;
    if (!common::parse_number(text, n) || n <= 0 || n > max_thousandths)
        return std::nullopt;
    return static_cast<double>(n) / thousandths;
}

} // namespace kumquatgap::fleet
