#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// Fast non-cryptographic hash (XXH3), for placement.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// SHA-256 in hexadecimal, for tokens and call fingerprints.
std::string sha256_hex(std::string_view text);

} // namespace kumquatgap::common
