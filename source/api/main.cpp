#include "api/api.hpp"

/// The operators' API.
int main(int argc, char** argv)
{
    using namespace kumquatgap;
    return shell::run_daemon<api::api>(argc, argv, "kqg-api",
                                       "Serves operators' resources: kqg-api --config=FILE",
                                       api::add_settings);
}
