#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::ledger
{

/// The state of an at-most-once call.
enum class record_state : std::uint8_t
{
    /// An attempt owns the key; the call may have been sent to the target.
    started,
    /// The call ran and its response is stored.
    done,
    /// The call was sent to the target and its response was lost.
    lost,
    /// The attempt that owned the key was withdrawn before the call was sent.
    withdrawn
};

/// A response that is stored for retries of the call.
struct stored_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// False when the body was too long to be stored.
    bool has_body = true;
};

/// The ledger's value for one idempotency key.
struct record
{
    record_state state = record_state::started;
    /// Identifies the attempt, and the agent process, that owns the key.
    std::string owner;
    /// A hash of the call, to refuse a key that is reused for a different call.
    std::string fingerprint;
    std::optional<stored_response> answer;
};

/// The longest response body that is stored for retries, in bytes.
inline constexpr std::size_t max_stored_body_bytes = std::size_t{256} << 10;
/// The longest idempotency key, in characters.
inline constexpr std::size_t max_key_length = 255;

/// True for 1 to 255 printable characters without spaces and slashes.
bool is_valid_key(std::string_view key);
/// The store's key of the record for a member's idempotency key.
std::string store_key(std::string_view member, std::string_view key);
/// Encodes a record as the value of its key in the store.
std::string serialize(const record& r);
/// Decodes a stored record; nullopt when the value is malformed.
std::optional<record> deserialize(std::string_view value);

} // namespace kumquatgap::ledger
