#pragma once

#include "common/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::protocol
{

/// Checks a model engine's stream of chat completion chunks: one id throughout, the id of the
/// request when the engine repeats it, a reason to finish, and the closing mark.
class engine_stream
{
public:
    /// `expected_id` is empty when the engine does not repeat the request's id.
    explicit engine_stream(std::string expected_id) : m_expected_id{std::move(expected_id)} {}

    /// What one event's data means.
    enum class step
    {
        /// A chunk that goes to the caller.
        chunk,
        /// The closing mark after a whole answer.
        done
    };

    /// Takes the data of the next event.
    common::result<step> take(std::string_view data);

private:
    std::string m_expected_id;
    std::string m_id;
    bool m_finished = false;
};

/// The id that an engine gives to the answer of a request that carried `request_id`.
std::string completion_id(std::string_view request_id);

/// Checks a whole chat completion; the failure says what is wrong with it.
std::optional<common::failure> check_completion(std::string_view body,
                                                std::string_view expected_id);

} // namespace kumquatgap::protocol
