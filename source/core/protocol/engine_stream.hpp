#pragma once

#include "common/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::protocol
{

/// Checks a model engine's stream of chat completion chunks: all chunks have the same id, which is
/// the request's when the engine echoes it; a finish reason arrives, and then `[DONE]`.
class engine_stream
{
public:
    /// `expected_id` is empty when the engine does not echo the request id.
    explicit engine_stream(std::string expected_id) : m_expected_id{std::move(expected_id)} {}

    /// Kind of an event's data.
    enum class step
    {
        /// A chunk to forward to the caller.
        chunk,
        /// `[DONE]` after a complete response.
        done
    };

    /// Checks the data of the next event.
    common::result<step> take(std::string_view data);

private:
    std::string m_expected_id;
    std::string m_id;
    bool m_finished = false;
};

/// The id of an engine's completion for a request with `request_id`.
std::string completion_id(std::string_view request_id);

/// Checks a chat completion that is not streamed; returns the failure, or none.
std::optional<common::failure> check_completion(std::string_view body,
                                                std::string_view expected_id);

} // namespace kumquatgap::protocol
