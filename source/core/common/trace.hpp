#pragma once

#include "common/clock.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// One span of a trace, as in W3C Trace Context.
struct span
{
    std::string trace_id;
    std::string span_id;
    std::string parent_id;
    timestamp started;
};

/// Starts a child span of the caller's `traceparent` header, or a new trace when the header is
/// missing or malformed.
span start_span(std::string_view traceparent, timestamp at);

/// The `traceparent` header for requests that this span's process sends on.
std::string traceparent(const span& s);

/// Logs the span as one line: ids, name, duration and result code.
void end_span(const span& s, std::string_view name, timestamp at, std::int64_t code);

/// A random identifier of 16 hexadecimal digits, for attempts, store writers and spans.
std::string random_id();

} // namespace kumquatgap::common
