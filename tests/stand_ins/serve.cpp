#include "serve.hpp"

#include <csignal>

namespace kumquatgap::stand_ins
{

int serve(io::event_loop& loop, io::http_server& server, const std::string& address)
{
    if (!server.listen(address))
        return 1;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace kumquatgap::stand_ins
