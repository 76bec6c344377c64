#include "process.hpp"

#include "common/text.hpp"
#include "shell/program.hpp"

#include <criterion/criterion.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace kumquatgap;

namespace
{

/// A folder with a pipe in the place of a settings file, which stops a program inside its main
/// function until somebody writes.
class settings_pipe
{
public:
    settings_pipe()
    {
        m_folder = (std::filesystem::temp_directory_path() / "kqg-early-XXXXXX").string();
        cr_assert(::mkdtemp(m_folder.data()) != nullptr);
        cr_assert_eq(::mkfifo(path().c_str(), 0600), 0);
    }
    settings_pipe(const settings_pipe&) = delete;
    settings_pipe& operator=(const settings_pipe&) = delete;
    ~settings_pipe()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    std::string path() const { return m_folder + "/settings.ini"; }
    std::string log_path() const { return m_folder + "/log"; }

    /// Waits for the program to open the settings; the descriptor to write them to.
    int wait_for_reader(failures::process& reader) const
    {
        while (!reader.has_ended())
        {
            const int fd = ::open(path().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            if (fd >= 0)
                return fd;
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        return -1;
    }

private:
    std::string m_folder;
};

constexpr auto s_daemons = std::to_array<std::string_view>(
    {"kqg-gateway", "kqg-rank-agent", "kqg-router", "kqg-agent", "kqg-api"});
constexpr int starts = 10;

} // namespace

Test(early_signal, a_daemon_outlives_a_reload_signal_before_its_handlers_stand)
{
    for (const auto daemon : s_daemons)
    {
        for (int i = 0; i < starts; ++i)
        {
            const settings_pipe settings;
            failures::process it{{common::concat(BINARY_FOLDER, "/", daemon),
                                  common::concat("--config=", settings.path())},
                                 settings.log_path()};
            const int fd = settings.wait_for_reader(it);
            cr_assert_geq(fd, 0, "%s did not read its settings", daemon.data());
            it.signal(SIGHUP);
            ::close(fd);
            // Without settings a daemon ends by itself, in its own way.
            cr_assert_eq(it.wait(), shell::exit_bad_settings, "%s ended with %d", daemon.data(),
                         it.status());
        }
    }
}
