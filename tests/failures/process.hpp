#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace kumquatgap::failures
{

/// A program that a test started; it is killed when this object goes.
class process
{
public:
    process(const std::vector<std::string>& command, const std::string& log_path);
    process(process&& other) noexcept;
    process& operator=(process&&) = delete;
    ~process();

    /// Sends a signal to the program.
    void signal(int number) const;
    /// Kills it and waits for its end.
    void kill();
    /// Waits for its end; the exit status, or 128 and the number of the signal that ended it.
    int wait();
    bool has_ended();
    /// The exit status that wait() has returned; 0 before that.
    int status() const { return m_status; }
    pid_t id() const { return m_id; }

private:
    pid_t m_id;
    int m_status = 0;
};

/// A loopback address that nothing listens on.
std::string free_address();

} // namespace kumquatgap::failures
