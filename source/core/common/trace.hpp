#pragma once

#include "common/clock.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// One hop of a trace, in the terms of W3C Trace Context.
struct span
{
    std::string trace_id;
    std::string span_id;
    std::string parent_id;
    timestamp started;
};

/// Starts a span below the caller's `traceparent` header, or a new trace when the header is
/// missing or malformed.
span start_span(std::string_view traceparent, timestamp at);

/// The `traceparent` header for the next hop.
std::string traceparent(const span& s);

/// Writes the span as one log line: ids, name, length and result code.
void end_span(const span& s, std::string_view name, timestamp at, std::int64_t code);

/// A random identifier of 16 hexadecimal digits, for attempts, writers and spans.
std::string random_id();

} // namespace kumquatgap::common
