#pragma once

#include "io/event_loop.hpp"

#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace kumquatgap::failures
{

/// Forwards connections, and can lose track of the open ones: they stay open and carry nothing
/// more, in either direction, while new ones work.
class relay
{
public:
    relay(io::event_loop& loop, std::string from, std::string to);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    /// Loses track of all open connections.
    void lose_open_connections();
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

    static void accepted(evconnlistener* listener, int fd, sockaddr* address, int size, void* arg);
    static void readable(bufferevent* from, void* arg);
    static void happened(bufferevent* on, short what, void* arg);

    io::event_loop& m_loop;
    std::string m_from;
    std::string m_to;
    evconnlistener* m_listener;
    std::list<std::unique_ptr<pair>> m_pairs;
};

} // namespace kumquatgap::failures
