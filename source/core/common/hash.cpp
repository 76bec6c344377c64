#include "common/hash.hpp"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace kumquatgap::common
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

} // namespace kumquatgap::common
