#pragma once

#include "common/clock.hpp"
#include "io/memory_budget.hpp"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace kumquatgap::io
{

/// A scheduled one-time or periodic callback; destroying the timer cancels it.
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

/// The libevent loop of a program. Every callback runs on the program's only thread.
class event_loop
{
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    event_base* base() const { return m_base; }
    /// The limits of all buffers of the program: a program has one loop.
    memory_budget& memory() { return m_memory; }
    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current event handler.
    void stop();
    /// Calls fn once after a delay, unless the handle is destroyed first.
    [[nodiscard]] timer_handle after(common::milliseconds delay, std::function<void()> fn);
    /// Calls fn once per period until the handle is destroyed.
    [[nodiscard]] timer_handle every(common::milliseconds period, std::function<void()> fn);
    /// Calls fn once, after the current event handler has returned.
    void defer(std::function<void()> fn);
    /// Calls fn whenever the process receives the signal.
    void on_signal(int number, std::function<void()> fn);
    /// Calls fn whenever the descriptor is readable.
    void on_readable(int fd, std::function<void()> fn);

private:
    struct watch;
    void add_watch(int fd, short what, std::function<void()> fn);

    event_base* m_base;
    memory_budget m_memory;
    std::vector<std::unique_ptr<watch>> m_watches;
};

} // namespace kumquatgap::io
