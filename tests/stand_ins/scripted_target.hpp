#pragma once

#include "io/event_loop.hpp"
#include "io/http_message.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace kumquatgap::stand_ins
{

class target_connection;

/// A back end that answers each request byte by byte as a test says, also in ways that are wrong.
class scripted_target
{
public:
    /// What the script may do with the connection of a request.
    struct reply
    {
        std::weak_ptr<target_connection> connection;

        void write(std::string_view bytes) const;
        /// Writes what fits without waiting; returns how much did.
        std::size_t write_some(std::string_view bytes) const;
        /// Ends the connection in order.
        void close() const;
        /// Ends it with a reset.
        void reset() const;
        bool is_open() const;
    };
    using script = std::function<void(const io::http_request&, reply)>;

    scripted_target(io::event_loop& loop, std::string address, script fn);
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    ~scripted_target();

    const std::string& address() const { return m_address; }
    void set_script(script fn) { m_script = std::move(fn); }
    /// Resets all connections and refuses new ones from now on, as after the end of a process.
    void crash();
    bool has_crashed() const { return m_listener == nullptr; }
    /// All requests that have come, in their order.
    const std::vector<io::http_request>& requests() const { return m_requests; }
    std::size_t connections_accepted() const { return m_accepted; }

private:
    friend class target_connection;
    static void accepted(evconnlistener* listener, int fd, sockaddr* address, int size, void* arg);

    io::event_loop& m_loop;
    std::string m_address;
    script m_script;
    evconnlistener* m_listener = nullptr;
    std::list<std::shared_ptr<target_connection>> m_connections;
    std::vector<io::http_request> m_requests;
    std::size_t m_accepted = 0;
};

} // namespace kumquatgap::stand_ins
