#include "ctl/command.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, api, "", "ip:port of kqg-api; or the environment's KQG_API");
ABSL_FLAG(std::string, token, "", "the operator's token; or the environment's KQG_TOKEN");
ABSL_FLAG(std::string, f, "", "the file with resources, '-' for standard input");
ABSL_FLAG(std::string, o, "table", "the form of output: table or json");
ABSL_FLAG(std::string, output, "", "the same as --o");
ABSL_FLAG(std::string, against, "", "the file with the resources in force (check)");
ABSL_FLAG(bool, against_live, false, "compare with the resources that the API lists (check)");
ABSL_FLAG(std::vector<std::string>, logs, {}, "log files, one for each process (explain)");
ABSL_FLAG(std::string, version_is, "", "the version that the resource must have (delete)");

namespace
{

/// A flag's value, or the environment variable's when the flag is empty.
std::string flag_or_environment(const std::string& flag, const char* variable)
{
    const char* value = std::getenv(variable);
    return flag.empty() && value != nullptr ? value : flag;
}

} // namespace

/// kqgctl, the operators' command line tool.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Reads and writes resources.\n"
                                 "  kqgctl get KIND [NAME] [--o=json]\n"
                                 "  kqgctl apply --f=FILE\n"
                                 "  kqgctl delete KIND NAME [--version_is=N]\n"
                                 "  kqgctl watch KIND\n"
                                 "  kqgctl status\n"
                                 "Checks a file of resources without writing them.\n"
                                 "  kqgctl check FILE [--against=FILE | --against_live] "
                                 "[--output=json]\n"
                                 "Shows what log files contain about a request.\n"
                                 "  kqgctl explain REQUEST_ID --logs=FILE,FILE");
    absl::FlagsUsageConfig usage_config;
    usage_config.version_string = [] { return std::string{"kqgctl 0.1.0\n"}; };
    absl::SetFlagsUsageConfig(usage_config);
    const auto positional = absl::ParseCommandLine(argc, argv);

    kumquatgap::ctl::command_options options;
    options.arguments.assign(positional.begin() + 1, positional.end());
    options.api_address = flag_or_environment(absl::GetFlag(FLAGS_api), "KQG_API");
    options.token = flag_or_environment(absl::GetFlag(FLAGS_token), "KQG_TOKEN");
    options.file = absl::GetFlag(FLAGS_f);
    options.output = absl::GetFlag(FLAGS_output);
    if (options.output.empty())
        options.output = absl::GetFlag(FLAGS_o);
    options.against = absl::GetFlag(FLAGS_against);
    options.against_live = absl::GetFlag(FLAGS_against_live);
    options.logs = absl::GetFlag(FLAGS_logs);
    options.version = absl::GetFlag(FLAGS_version_is);
    return kumquatgap::ctl::run_command(options, std::cout, std::cerr);
}
