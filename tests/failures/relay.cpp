#include "relay.hpp"

#include "common/settings.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <sys/socket.h>

#include <stdexcept>

namespace kumquatgap::failures
{

namespace
{

sockaddr_in to_sockaddr(const std::string& address)
{
    const auto it = common::parse_address(address);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

} // namespace

relay::relay(io::event_loop& loop, std::string from, std::string to)
    : m_loop{loop}, m_from{std::move(from)}, m_to{std::move(to)}
{
    const auto address = to_sockaddr(m_from);
    constexpr int backlog = 128;
    m_listener = evconnlistener_new_bind(
        loop.base(), &relay::accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (m_listener == nullptr)
        throw std::runtime_error{"the relay can't listen"};
}

relay::~relay()
{
    evconnlistener_free(m_listener);
    for (const auto& it : m_pairs)
    {
        bufferevent_free(it->near);
        bufferevent_free(it->far);
    }
}

void relay::accepted(evconnlistener* /*listener*/, int fd, sockaddr* /*address*/, int /*size*/,
                     void* arg)
{
    auto& owner = *static_cast<relay*>(arg);
    auto it = std::make_unique<pair>();
    it->owner = &owner;
    it->near = bufferevent_socket_new(owner.m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    it->far = bufferevent_socket_new(owner.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (auto* side : {it->near, it->far})
    {
        bufferevent_setcb(side, &relay::readable, nullptr, &relay::happened, it.get());
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    auto address = to_sockaddr(owner.m_to);
    bufferevent_socket_connect(it->far, reinterpret_cast<sockaddr*>(&address), sizeof address);
    owner.apply_mood(*it);
    owner.m_pairs.push_back(std::move(it));
}

void relay::apply_mood(const pair& it) const
{
    const bool takes_requests =
        m_mood == relay_mood::forwards || m_mood == relay_mood::holds_answers;
    const bool takes_answers =
        m_mood == relay_mood::forwards || m_mood == relay_mood::holds_requests;
    (takes_requests ? bufferevent_enable : bufferevent_disable)(it.near, EV_READ);
    (takes_answers ? bufferevent_enable : bufferevent_disable)(it.far, EV_READ);
}

void relay::set_mood(relay_mood mood)
{
    m_mood = mood;
    for (const auto& it : m_pairs)
        apply_mood(*it);
}

void relay::reset_open_connections()
{
    const linger at_once{1, 0};
    for (const auto& it : m_pairs)
    {
        for (auto* side : {it->near, it->far})
        {
            const int fd = bufferevent_getfd(side);
            if (fd >= 0)
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            bufferevent_free(side);
        }
    }
    m_pairs.clear();
}

void relay::readable(bufferevent* from, void* arg)
{
    const auto& it = *static_cast<pair*>(arg);
    if (it.lost)
        evbuffer_drain(bufferevent_get_input(from), SIZE_MAX);
    else
        bufferevent_write_buffer(from == it.near ? it.far : it.near, bufferevent_get_input(from));
}

void relay::happened(bufferevent* on, short what, void* arg)
{
    auto* it = static_cast<pair*>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return;
    // A lost connection stays open towards the side that has not closed it.
    if (it->lost)
    {
        bufferevent_disable(on, EV_READ | EV_WRITE);
        return;
    }
    bufferevent_free(it->near);
    bufferevent_free(it->far);
    it->owner->m_pairs.remove_if([it](const auto& x) { return x.get() == it; });
}

void relay::lose_open_connections()
{
    for (const auto& it : m_pairs)
        it->lost = true;
}

} // namespace kumquatgap::failures
