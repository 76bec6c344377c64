#pragma once

#include "io/event_loop.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace kumquatgap::failures
{

/// What a relay carries.
enum class relay_mood : std::uint8_t
{
    forwards,
    /// Bytes wait in both directions, and go on later.
    holds,
    /// Bytes towards the caller wait.
    holds_answers,
    /// Bytes towards the target wait.
    holds_requests
};

/// Forwards connections, and can lose track of the open ones: they stay open and carry nothing
/// more, in either direction, while new ones work. It can also hold bytes back, and reset.
class relay
{
public:
    relay(io::event_loop& loop, std::string from, std::string to);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    /// Loses track of all open connections.
    void lose_open_connections();
    /// Resets all open connections on both sides.
    void reset_open_connections();
    /// Changes what open and new connections carry.
    void set_mood(relay_mood mood);
    std::size_t open_connections() const { return m_pairs.size(); }
    const std::string& address() const { return m_from; }

private:
    struct pair
    {
        relay* owner = nullptr;
        bufferevent* near = nullptr;
        bufferevent* far = nullptr;
        bool lost = false;
    };

    void apply_mood(const pair& it) const;
    static void accepted(evconnlistener* listener, int fd, sockaddr* address, int size, void* arg);
    static void readable(bufferevent* from, void* arg);
    static void happened(bufferevent* on, short what, void* arg);

    io::event_loop& m_loop;
    std::string m_from;
    std::string m_to;
    evconnlistener* m_listener;
    std::list<std::unique_ptr<pair>> m_pairs;
    relay_mood m_mood = relay_mood::forwards;
};

} // namespace kumquatgap::failures
