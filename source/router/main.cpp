#include "router/router.hpp"

/// The router: accepts callers' requests and forwards them to agents.
int main(int argc, char** argv)
{
    using namespace kumquatgap;
    return shell::run_daemon<router::router>(argc, argv, "kqg-router",
                                             "Takes callers' requests: kqg-router --config=FILE",
                                             router::add_settings);
}
