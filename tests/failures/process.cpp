#include "process.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace kumquatgap::failures
{

namespace
{

/// Ports below the range from which the system takes those of outgoing connections.
constexpr int first_port = 10000;
constexpr int port_count = 22000;

/// A port that no other test program on this machine gets at the same time: they count in a file.
int next_port()
{
    const auto path = std::filesystem::temp_directory_path() / "kqg-test-ports";
    const int fd = ::open(path.c_str(), O_CREAT | O_RDWR, 0600);
    if (fd < 0 || ::flock(fd, LOCK_EX) != 0)
        throw std::runtime_error{"the file that counts ports can't be locked"};
    int n = 0;
    if (::pread(fd, &n, sizeof n, 0) != sizeof n)
        n = 0;
    n = (n + 1) % port_count;
    const bool written = ::pwrite(fd, &n, sizeof n, 0) == sizeof n;
    ::close(fd);
    if (!written)
        throw std::runtime_error{"the file that counts ports can't be written"};
    return first_port + n;
}

bool can_listen(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool ok = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return ok;
}

int to_exit_status(int wait_status)
{
    constexpr int signal_base = 128;
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : signal_base + WTERMSIG(wait_status);
}

[[noreturn]] void become(const std::vector<std::string>& command, const std::string& log_path)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

} // namespace

process::process(const std::vector<std::string>& command, const std::string& log_path)
    : m_id{::fork()}
{
    if (m_id == 0)
        become(command, log_path);
    if (m_id < 0)
        throw std::runtime_error{"fork failed"};
}

process::process(process&& other) noexcept
    : m_id{std::exchange(other.m_id, -1)}, m_status{other.m_status}
{
}

process::~process()
{
    kill();
}

void process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

void process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    wait();
}

int process::wait()
{
    if (m_id <= 0)
        return m_status;
    int status = 0;
    ::waitpid(std::exchange(m_id, -1), &status, 0);
    m_status = to_exit_status(status);
    return m_status;
}

bool process::has_ended()
{
    if (m_id <= 0)
        return true;
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) != m_id)
        return false;
    m_id = -1;
    m_status = to_exit_status(status);
    return true;
}

std::string free_address()
{
    int port = next_port();
    while (!can_listen(port))
        port = next_port();
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace kumquatgap::failures
