#pragma once

#include "common/clock.hpp"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace kumquatgap::io
{

/// A pending or repeating call; destroying it cancels it.
class timer
{
public:
    timer(event_base* base, common::milliseconds delay, bool repeat, std::function<void()> fn);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

private:
    static void fire(int fd, short what, void* arg);

    std::function<void()> m_fn;
    event* m_event;
};

using timer_handle = std::unique_ptr<timer>;

/// The one event loop of a program, on its one thread, by libevent.
class event_loop
{
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    event_base* base() const { return m_base; }
    /// Runs until stop() is called.
    void run();
    /// Lets the loop end after the event that is being handled.
    void stop();
    /// Calls fn once after a delay, unless the handle is destroyed before.
    [[nodiscard]] timer_handle after(common::milliseconds delay, std::function<void()> fn);
    /// Calls fn again and again until the handle is destroyed.
    [[nodiscard]] timer_handle every(common::milliseconds period, std::function<void()> fn);
    /// Calls fn once, after the event that is being handled.
    void defer(std::function<void()> fn);
    /// Calls fn whenever the process receives the signal.
    void on_signal(int number, std::function<void()> fn);
    /// Calls fn whenever the descriptor can be read.
    void on_readable(int fd, std::function<void()> fn);

private:
    struct watch;
    void add_watch(int fd, short what, std::function<void()> fn);

    event_base* m_base;
    std::vector<std::unique_ptr<watch>> m_watches;
};

} // namespace kumquatgap::io
