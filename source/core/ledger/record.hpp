#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::ledger
{

/// How far a call that must not repeat has come.
enum class record_state : std::uint8_t
{
    /// An attempt owns the key: it may have been handed to the target.
    started,
    /// The call ran and its answer is kept.
    done,
    /// The call was handed over and its answer was lost.
    lost,
    /// The attempt that owned the key was withdrawn before it was handed over.
    withdrawn
};

/// The answer that a repeated call gets again.
struct kept_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// False when the body was too long to be kept.
    bool has_body = true;
};

/// The ledger's value for one idempotency key.
struct record
{
    record_state state = record_state::started;
    /// Names the attempt and the run of the agent that owns the key.
    std::string owner;
    /// A hash of the call, so that a key can't be used for two different calls.
    std::string fingerprint;
    std::optional<kept_answer> answer;
};

/// The longest body that is kept for repeated calls.
inline constexpr std::size_t max_kept_body_bytes = std::size_t{256} << 10;
/// The longest idempotency key.
inline constexpr std::size_t max_key_length = 255;

/// True for 1 to 255 printable characters without spaces and slashes.
bool is_valid_key(std::string_view key);
/// The store's key for an idempotency key of a member.
std::string store_key(std::string_view member, std::string_view key);
std::string to_stored(const record& r);
/// None when the value is malformed.
std::optional<record> from_stored(std::string_view value);

} // namespace kumquatgap::ledger
