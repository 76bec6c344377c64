#include "api/api.hpp"

/// The operators' API.
int main(int argc, char** argv)
{
    namespace kqg = kumquatgap;
    kqg::api::api_settings settings;
    kqg::common::settings_schema schema;
    kqg::api::add_settings(schema, settings);
    const auto status = kqg::shell::start_program(
        argc, argv, "kqg-api", "Serves operators' resources: kqg-api --config=FILE", schema,
        settings.common);
    if (status)
        return *status;
    return kqg::api::api{settings}.run();
}
