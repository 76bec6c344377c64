#pragma once

#include "common/clock.hpp"
#include "config/replica.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::membership
{

/// A process that watches the store, and the time since the store last responded to it.
struct watcher
{
    std::string name;
    common::milliseconds age{0};
};

/// Summary of a process's replica and of the live watchers that it knows. A peer with newer changes
/// responds with a delta or a snapshot.
struct digest
{
    std::string name;
    std::string address;
    kv::revision as_of = 0;
    kv::revision last_change = 0;
    std::vector<watcher> watchers;
    kv::era in_era = 0;
    /// The sender's clock when it asks for a confirmation of its replica, in ms; 0 when it does
    /// not.
    std::int64_t asked_at = 0;
    /// In the answer: `asked_at` of the request.
    std::int64_t answer_to = 0;
    /// In the answer: the time since the sender's replica had all changes that the store had
    /// confirmed.
    common::milliseconds unconfirmed_time{0};

    kv::position position() const { return {in_era, as_of}; }
};

/// The changes that the receiver lacks.
struct delta_message
{
    config::delta changes;
};

/// All replicated keys, for a receiver that is too far behind for a delta.
struct snapshot_message
{
    config::snapshot state;
};

using message = std::variant<digest, delta_message, snapshot_message>;

/// The name of the message's type, for logs.
std::string_view name_of(const message& m);
/// The revision of the sender's replica when it sent the message.
kv::revision revision_of(const message& m);

/// Encodes a message as CBOR, with the deployment's token.
std::string to_bytes(const message& m, std::string_view token);
/// Decodes a message; nullopt when it is malformed or carries another token. A message of a build
/// that knows no eras counts as one of `default_era`.
std::optional<message> from_bytes(std::string_view bytes, std::string_view token,
                                  kv::era default_era = 0);

} // namespace kumquatgap::membership
