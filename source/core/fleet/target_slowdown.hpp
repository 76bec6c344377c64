#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::fleet
{

/// Store keys with this prefix hold the slowdown of a target, how many times slower than normal it
/// is. The rest of the key is the target's address. A target without such a key runs at its normal
/// speed.
inline constexpr std::string_view slowdown_prefix = "kqg/pace/";

/// Converts a slowdown to a store value and back; none when the text is malformed.
std::string slowdown_to_text(double slowdown);
std::optional<double> slowdown_from_text(std::string_view text);

} // namespace kumquatgap::fleet
