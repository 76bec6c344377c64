#include "router/router.hpp"

/// The router: takes callers' requests and forwards them to agents.
int main(int argc, char** argv)
{
    namespace kqg = kumquatgap;
    kqg::router::router_settings settings;
    kqg::common::settings_schema schema;
    kqg::router::add_settings(schema, settings);
    const auto status = kqg::shell::start_program(
        argc, argv, "kqg-router", "Takes callers' requests: kqg-router --config=FILE", schema,
        settings.common);
    if (status)
        return *status;
    return kqg::router::router{settings}.run();
}
