#pragma once

#include "io/http_message.hpp"

#include <string>

namespace kumquatgap::stand_ins
{

/// An answer of a target with its id and its signature.
std::string whole_answer(const io::http_request& request, int status, const std::string& body,
                         const std::string& more_fields = "");
/// The head of a stream, and one of its events as a chunk.
std::string stream_head(const io::http_request& request);
std::string stream_event(int id);
/// The events of a stream as a caller gets them.
std::string events_text(int first, int last);

} // namespace kumquatgap::stand_ins
