#pragma once

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// Concatenates texts and numbers.
template <class... T>
std::string concat(const T&... parts)
{
    fmt::memory_buffer buf;
    (fmt::format_to(std::back_inserter(buf), "{}", parts), ...);
    return fmt::to_string(buf);
}

/// Parses a decimal integer; false when the text is anything else.
template <std::integral T>
bool parse_number(std::string_view text, T& out)
{
    const auto* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && at == end && !text.empty();
}

/// Parses a decimal number with or without a fraction; false when the text is anything else, such
/// as a number with an exponent or an infinity.
bool parse_decimal(std::string_view text, double& out);

/// Encodes base64 with padding.
std::string base64_encode(std::string_view bytes);
/// Decodes base64; false when the text is malformed.
bool base64_decode(std::string_view text, std::string& out);

/// Compares two texts, ignoring the case of ASCII letters.
bool equals_ignore_case(std::string_view a, std::string_view b);

} // namespace kumquatgap::common
