#include "scripted_target.hpp"

#include "common/settings.hpp"
#include "io/http_codec.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

namespace kumquatgap::stand_ins
{

/// One connection of a scripted target.
class target_connection : public io::message_handler,
                          public std::enable_shared_from_this<target_connection>
{
public:
    target_connection(scripted_target& owner, int fd)
        : m_owner{owner}, m_bev{bufferevent_socket_new(owner.m_loop.base(), fd,
                                                       BEV_OPT_CLOSE_ON_FREE)},
          m_reader{HTTP_REQUEST, *this}
    {
        bufferevent_setcb(m_bev, &readable, nullptr, &happened, this);
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    }
    ~target_connection() override { bufferevent_free(m_bev); }

    /// Sends past the buffers, so that a close or a reset comes behind the bytes.
    void write(std::string_view bytes)
    {
        const int fd = bufferevent_getfd(m_bev);
        while (!bytes.empty())
        {
            const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n > 0)
                bytes.remove_prefix(static_cast<std::size_t>(n));
            else if (errno != EAGAIN)
                return;
        }
    }

    std::size_t write_some(std::string_view bytes)
    {
        const auto n = ::send(bufferevent_getfd(m_bev), bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    void close()
    {
        m_is_open = false;
        ::shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    }

    void reset()
    {
        m_is_open = false;
        const linger at_once{1, 0};
        ::setsockopt(bufferevent_getfd(m_bev), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        m_owner.m_loop.defer([self = shared_from_this()] { self->leave(); });
    }

    bool is_open() const { return m_is_open; }

    bool on_begin() override
    {
        m_body.clear();
        return true;
    }
    bool on_head() override { return true; }
    bool on_body(std::string_view bytes) override
    {
        m_body += bytes;
        return true;
    }
    bool on_complete() override
    {
        const std::string_view url = m_reader.url();
        const auto mark = url.find('?');
        io::http_request request{m_reader.method(), std::string{url.substr(0, mark)},
                                 mark == std::string_view::npos ? ""
                                                                : std::string{url.substr(mark + 1)},
                                 m_reader.headers(), m_body};
        m_owner.m_requests.push_back(request);
        const auto script = m_owner.m_script;
        script(request, {weak_from_this()});
        return true;
    }

private:
    static void readable(bufferevent* bev, void* arg)
    {
        const auto it = static_cast<target_connection*>(arg)->shared_from_this();
        auto* input = bufferevent_get_input(bev);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        it->m_reader.feed(bytes);
    }

    static void happened(bufferevent* /*bev*/, short /*what*/, void* arg)
    {
        const auto it = static_cast<target_connection*>(arg)->shared_from_this();
        it->leave();
    }

    void leave()
    {
        m_is_open = false;
        std::erase_if(m_owner.m_connections, [this](const auto& it) { return it.get() == this; });
    }

    scripted_target& m_owner;
    bufferevent* m_bev;
    io::http_reader m_reader;
    std::string m_body;
    bool m_is_open = true;
};

void scripted_target::reply::write(std::string_view bytes) const
{
    if (const auto it = connection.lock())
        it->write(bytes);
}

std::size_t scripted_target::reply::write_some(std::string_view bytes) const
{
    const auto it = connection.lock();
    return it ? it->write_some(bytes) : 0;
}

void scripted_target::reply::close() const
{
    if (const auto it = connection.lock())
        it->close();
}

void scripted_target::reply::reset() const
{
    if (const auto it = connection.lock())
        it->reset();
}

bool scripted_target::reply::is_open() const
{
    const auto it = connection.lock();
    return it && it->is_open();
}

scripted_target::scripted_target(io::event_loop& loop, std::string address, script fn)
    : m_loop{loop}, m_address{std::move(address)}, m_script{std::move(fn)}
{
    const auto at = common::parse_address(m_address);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &own.sin_addr);
    constexpr int backlog = 64;
    m_listener = evconnlistener_new_bind(loop.base(), &scripted_target::accepted, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                         reinterpret_cast<const sockaddr*>(&own), sizeof own);
    if (m_listener == nullptr)
        throw std::runtime_error{"the target's address is taken"};
}

scripted_target::~scripted_target()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

void scripted_target::crash()
{
    // Deferred, since a script runs inside a callback of its connection.
    m_loop.defer(
        [this]
        {
            if (has_crashed())
                return;
            evconnlistener_free(m_listener);
            m_listener = nullptr;
            const auto open = m_connections;
            for (const auto& it : open)
                it->reset();
        });
}

void scripted_target::accepted(evconnlistener* /*listener*/, int fd, sockaddr* /*address*/,
                               int /*size*/, void* arg)
{
    auto& owner = *static_cast<scripted_target*>(arg);
    ++owner.m_accepted;
    owner.m_connections.push_back(std::make_shared<target_connection>(owner, fd));
}

} // namespace kumquatgap::stand_ins
