#pragma once

#include "protocol/agent_call.hpp"

#include <optional>
#include <string>

namespace kumquatgap::protocol
{

/// Checks that the events of a response are complete, in order and from the expected attempt.
class answer_check
{
public:
    explicit answer_check(std::string attempt) : m_attempt{std::move(attempt)} {}

    /// Checks the next event; after a failure the rest of the response must not be used.
    std::optional<common::failure> take(const response_event& event);
    /// True once the end and everything before it have arrived.
    bool is_whole() const { return m_ended; }
    bool has_head() const { return m_has_head; }

private:
    std::optional<common::failure> check_part(std::int64_t number);

    std::string m_attempt;
    std::int64_t m_parts = 0;
    bool m_has_head = false;
    bool m_ended = false;
};

} // namespace kumquatgap::protocol
