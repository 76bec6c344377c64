#include "agent/agent.hpp"

/// The agent: the one way to the target on its host.
int main(int argc, char** argv)
{
    namespace kqg = kumquatgap;
    kqg::agent::agent_settings settings;
    kqg::common::settings_schema schema;
    kqg::agent::add_settings(schema, settings);
    const auto status = kqg::shell::start_program(
        argc, argv, "kqg-agent", "Guards the target on its host: kqg-agent --config=FILE", schema,
        settings.common);
    if (status)
        return *status;
    return kqg::agent::agent{settings}.run();
}
