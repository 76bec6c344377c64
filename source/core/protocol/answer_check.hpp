#pragma once

#include "protocol/agent_call.hpp"

#include <optional>
#include <string>

namespace kumquatgap::protocol
{

/// Checks that the events of one answer are whole, in order, and of the attempt that was made.
class answer_check
{
public:
    explicit answer_check(std::string attempt) : m_attempt{std::move(attempt)} {}

    /// Takes the next event; a failure means that the answer can't be trusted from here on.
    std::optional<common::failure> take(const answer_event& event);
    /// True once the end has arrived and everything before it.
    bool is_whole() const { return m_ended; }
    bool has_head() const { return m_has_head; }

private:
    std::optional<common::failure> take_part(std::int64_t number);

    std::string m_attempt;
    std::int64_t m_parts = 0;
    bool m_has_head = false;
    bool m_ended = false;
};

} // namespace kumquatgap::protocol
