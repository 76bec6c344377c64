#pragma once

#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <functional>
#include <list>
#include <string>

namespace kumquatgap::stand_ins
{

/// What a stand-in does with the next requests.
enum class fault
{
    none,
    /// Answers late.
    slow,
    /// Carries nothing out and closes the connection.
    down,
    /// Carries the request out and closes the connection without an answer.
    lose_answer,
    /// Takes the request and never answers.
    hang
};

/// Faults that a test orders over HTTP: `POST /stand_in/fault?kind=lose_answer&count=2`.
/// Requests that match `path`, when given, use up the count; a count of 0 means until changed.
class fault_gate
{
public:
    explicit fault_gate(io::event_loop& loop) : m_loop{loop} {}

    /// Handles the order; false when the request is not one.
    bool take_order(const io::http_request& request, const io::responder_ptr& answer);

    /// Lets a request through to `carry_out`, which returns the answer, as the fault in force has
    /// it.
    void pass(const io::http_request& request, const io::responder_ptr& answer,
              const std::function<io::http_response()>& carry_out);

    /// The fault for a request; uses up one of the count.
    fault next(const io::http_request& request);

private:
    io::event_loop& m_loop;
    fault m_fault = fault::none;
    int m_left = 0;
    std::string m_path;
    common::milliseconds m_delay{0};
    std::list<io::timer_handle> m_timers;
};

} // namespace kumquatgap::stand_ins
