#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::fleet
{

/// Keys of the store below this prefix say how much slower than usual a target is. The rest of the
/// key is the target's address. A target without such a key runs at its usual pace.
inline constexpr std::string_view pace_prefix = "kqg/pace/";

/// A pace as a value of the store, and back; none when the text is no pace.
std::string pace_to_text(double pace);
std::optional<double> pace_from_text(std::string_view text);

} // namespace kumquatgap::fleet
