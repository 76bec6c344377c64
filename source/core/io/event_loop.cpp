#include "io/event_loop.hpp"

#include <event2/event.h>

#include <csignal>
#include <stdexcept>

namespace kumquatgap::io
{

namespace
{

timeval to_timeval(common::milliseconds d)
{
    constexpr auto ms_per_s = 1000;
    constexpr auto us_per_ms = 1000;
    return {d.count() / ms_per_s, (d.count() % ms_per_s) * us_per_ms};
}

void run_deferred(int /*fd*/, short /*what*/, void* arg)
{
    const std::unique_ptr<std::function<void()>> fn{static_cast<std::function<void()>*>(arg)};
    (*fn)();
}

} // namespace

timer::timer(event_base* base, common::milliseconds delay, bool repeat, std::function<void()> fn)
    : m_fn{std::move(fn)}, m_event{event_new(base, -1, static_cast<short>(repeat ? EV_PERSIST : 0),
                                             &timer::fire, this)}
{
    const auto tv = to_timeval(delay);
    event_add(m_event, &tv);
}

timer::~timer()
{
    event_free(m_event);
}

void timer::fire(int /*fd*/, short /*what*/, void* arg)
{
    // The callback may destroy this timer, so a copy of it is called.
    const auto fn = static_cast<timer*>(arg)->m_fn;
    fn();
}

struct event_loop::watch
{
    std::function<void()> fn;
    event* ev = nullptr;

    ~watch() { event_free(ev); }

    static void fire(int /*fd*/, short /*what*/, void* arg) { static_cast<watch*>(arg)->fn(); }
};

event_loop::event_loop() : m_base{event_base_new()}
{
    if (m_base == nullptr)
        throw std::runtime_error{"libevent failed to create an event base"};
    // A write to a connection closed by the peer should fail with EPIPE, not raise a signal.
    std::signal(SIGPIPE, SIG_IGN);
    m_memory.on_shortage([this] { defer([this] { m_memory.reclaim(common::now()); }); });
}

event_loop::~event_loop()
{
    m_watches.clear();
    event_base_free(m_base);
}

void event_loop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base);
}

timer_handle event_loop::after(common::milliseconds delay, std::function<void()> fn)
{
    return std::make_unique<timer>(m_base, delay, false, std::move(fn));
}

timer_handle event_loop::every(common::milliseconds period, std::function<void()> fn)
{
    return std::make_unique<timer>(m_base, period, true, std::move(fn));
}

void event_loop::defer(std::function<void()> fn)
{
    const timeval no_delay{0, 0};
    auto owned = std::make_unique<std::function<void()>>(std::move(fn));
    if (event_base_once(m_base, -1, EV_TIMEOUT, &run_deferred, owned.get(), &no_delay) == 0)
        (void)owned.release();
}

void event_loop::on_signal(int number, std::function<void()> fn)
{
    add_watch(number, EV_SIGNAL | EV_PERSIST, std::move(fn));
}

void event_loop::on_readable(int fd, std::function<void()> fn)
{
    add_watch(fd, EV_READ | EV_PERSIST, std::move(fn));
}

void event_loop::add_watch(int fd, short what, std::function<void()> fn)
{
    auto it = std::make_unique<watch>();
    it->fn = std::move(fn);
    it->ev = event_new(m_base, fd, what, &watch::fire, it.get());
    event_add(it->ev, nullptr);
    m_watches.push_back(std::move(it));
}

} // namespace kumquatgap::io
