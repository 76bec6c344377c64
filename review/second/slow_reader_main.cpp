#include "site.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <list>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

/// A gateway gets SIGTERM while requesters wait for streams that they read slowly: each stops
/// reading for some seconds in the middle of its stream and reads the rest within its deadline.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

constexpr int requesters = 6;
constexpr int runners_of_pool = 3;
constexpr int events_of_stream = 40;
constexpr milliseconds event_period{20};
/// A slow requester reads so many bytes, about one event, in each such time, for so long. It is
/// never without an event for the two seconds after which requesters abandon a stream.
/// The first time it reads the response head as well.
constexpr std::size_t slow_bytes = 95;
constexpr std::size_t first_bytes = 300;
constexpr milliseconds slow_period{800};
constexpr milliseconds slow_time{6000};
constexpr std::size_t all_bytes = 4096;
/// After the SIGTERM; requests that come so early count.
constexpr milliseconds send_delay{100};
/// The requesters' deadline and the route's timeout, from the request on.
constexpr milliseconds deadline{8000};
constexpr int receive_buffer_bytes = 2048;

/// A requester's channel, read by hand.
class slow_requester
{
public:
    slow_requester(site& owner, std::string id)
        : m_site{owner}, m_id{std::move(id)}, m_fd{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        const auto at = common::parse_address(owner.front(0));
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(at.port);
        inet_pton(AF_INET, at.ip.c_str(), &peer.sin_addr);
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
            throw std::runtime_error{"the gateway takes no connection"};
    }
    slow_requester(const slow_requester&) = delete;
    slow_requester& operator=(const slow_requester&) = delete;
    ~slow_requester() { ::close(m_fd); }

    void send()
    {
        const auto text = common::concat(
            "POST /draft/wall HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ", m_id,
            "\r\nX-Deadline-Ms: ", deadline.count(),
            "\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n{}");
        ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
        m_sent_at = m_site.elapsed();
        m_site.record(common::concat("requester: ", m_id, " sent"));
    }

    /// Reads what is there, up to a number of bytes.
    void read(std::size_t most)
    {
        std::array<char, 4096> buf{};
        if (m_is_closed || is_complete())
            return;
        const auto n = ::recv(m_fd, buf.data(), std::min(most, buf.size()), MSG_DONTWAIT);
        if (n > 0)
            m_text.append(buf.data(), static_cast<std::size_t>(n));
        m_is_closed = n == 0 || (n < 0 && errno != EAGAIN);
        if (m_is_closed || is_complete())
            m_site.record(common::concat("requester: ", m_id, " has ", m_text.size(), " bytes ",
                                         (m_site.elapsed() - m_sent_at).count(),
                                         " ms after its request, ",
                                         is_complete() ? "complete" : "cut"));
    }

    bool is_complete() const { return m_text.ends_with("\r\n0\r\n\r\n"); }
    bool has_ended() const { return m_is_closed || is_complete(); }
    bool is_in_time() const { return m_site.elapsed() - m_sent_at < deadline; }
    const std::string& id() const { return m_id; }

private:
    site& m_site;
    std::string m_id;
    int m_fd;
    std::string m_text;
    milliseconds m_sent_at{0};
    bool m_is_closed = false;
};

class slow_reader_case
{
public:
    verdict run()
    {
        for (int i = 1; i <= runners_of_pool; ++i)
            m_site.add_runner(common::concat("pool-", i), "kumquat-pool",
                              [this](const auto& request, const auto& out)
                              { stream(request, out); });
        m_site.put_config(site::config(1));
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        std::list<slow_requester> all;
        for (int i = 1; i <= requesters; ++i)
            all.emplace_back(m_site, common::concat("slow-", i));
        m_site.gateway(0).signal(SIGTERM);
        m_site.record("the gateway gets SIGTERM");
        m_site.run_for(send_delay);
        std::ranges::for_each(all, &slow_requester::send);
        const auto slow_until = m_site.elapsed() + (has_trouble() ? slow_time : milliseconds{0});
        for (auto most = first_bytes; m_site.elapsed() < slow_until; most = slow_bytes)
        {
            m_site.run_for(slow_period);
            for (auto& it : all)
                it.read(most);
            m_site.record("requesters: each has read up to one event");
        }
        m_site.wait_until(
            [&]
            {
                for (auto& it : all)
                    it.read(all_bytes);
                return std::ranges::all_of(all, [](const auto& it)
                                           { return it.has_ended() || !it.is_in_time(); });
            });
        const auto lost =
            std::ranges::count_if(all, [&](const auto& it)
                                  { return m_runs_ended.contains(it.id()) && !it.is_complete(); });
        m_site.record(common::concat(m_runs_ended.size(), " streams were run to their ends, ", lost,
                                     " answers were lost"));
        if (std::cmp_not_equal(m_runs_ended.size(), requesters))
            return verdict::could_not_run;
        return lost > 0 ? verdict::broken : verdict::held;
    }

private:
    struct open_stream
    {
        scripted_target::reply out;
        std::string id;
        int next = 1;
        io::timer_handle timer = nullptr;
    };

    void stream(const io::http_request& request, const scripted_target::reply& out)
    {
        const std::string id{request.headers.find("x-request-id")};
        m_site.record(common::concat("runner: runs ", id));
        out.write(stand_ins::stream_head(request));
        m_streams.push_back({out, id});
        auto& it = m_streams.back();
        it.timer = m_site.loop().every(event_period, [this, &it] { send_event(it); });
    }

    void send_event(open_stream& it)
    {
        constexpr std::size_t event_bytes = 70;
        if (it.next <= events_of_stream)
            return it.out.write(io::to_chunk(common::concat(
                "id: ", it.next++, "\ndata: ", std::string(event_bytes, 'p'), "\n\n")));
        it.out.write(io::last_chunk);
        m_runs_ended.insert(it.id);
        m_site.record(common::concat("runner: has ended ", it.id));
        m_site.loop().defer([&it] { it.timer.reset(); });
    }

    site m_site{{.gateways = 1}};
    std::list<open_stream> m_streams;
    std::set<std::string> m_runs_ended;
};

} // namespace

int main()
{
    return run_case([] { return slow_reader_case{}.run(); });
}
