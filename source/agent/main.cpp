#include "agent/agent.hpp"

/// The agent: the proxy for all calls to the target on its host.
int main(int argc, char** argv)
{
    using namespace kumquatgap;
    return shell::run_daemon<agent::agent>(argc, argv, "kqg-agent",
                                           "Guards the target on its host: kqg-agent --config=FILE",
                                           agent::add_settings);
}
