#pragma once

#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <string>

namespace kumquatgap::stand_ins
{

/// Serves on an address until SIGTERM; the result is the program's exit status.
int serve(io::event_loop& loop, io::http_server& server, const std::string& address);

} // namespace kumquatgap::stand_ins
