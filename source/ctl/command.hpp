#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace kumquatgap::ctl
{

/// The exit statuses of kqgctl. Those of a check are check_status.
enum exit_status : int
{
    /// Success.
    exit_ok = 0,
    /// The API refused (conflict, invalid resource, not permitted, not found), or no log names the
    /// request.
    exit_refused = 1,
    /// The command line is wrong.
    exit_usage = 64,
    /// The file can't be read or is not JSON.
    exit_bad_file = 66,
    /// The API can't be reached, or the outcome of a write is not known.
    exit_unavailable = 69
};

/// The parsed command line.
struct command_options
{
    /// The command's name and its arguments.
    std::vector<std::string> arguments;
    std::string api_address;
    std::string token;
    std::string file;
    std::string output = "table";
    std::string version;
    /// The resources in force, for `check`: a file, or those that the API lists.
    std::string against;
    bool against_live = false;
    /// Log files to read.
    std::vector<std::string> logs;
};

/// Runs one command; the result is the program's exit status.
int run_command(const command_options& options, std::ostream& out, std::ostream& err);

} // namespace kumquatgap::ctl
