#include "common/text.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

#include <cmath>

namespace kumquatgap::common
{

namespace
{

/// The packaged Abseil is built with its own string_view type instead of std::string_view.
absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

bool parse_decimal(std::string_view text, double& out)
{
    const auto* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, out, std::chars_format::fixed);
    return ec == std::errc{} && at == end && std::isfinite(out);
}

std::string base64_encode(std::string_view bytes)
{
    return absl::Base64Escape(to_absl(bytes));
}

bool base64_decode(std::string_view text, std::string& out)
{
    return absl::Base64Unescape(to_absl(text), &out);
}

bool equals_ignore_case(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(to_absl(a), to_absl(b));
}

} // namespace kumquatgap::common
