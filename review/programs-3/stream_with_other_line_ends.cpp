#include "deployment.hpp"

#include "../../tests/stand_ins/target_answers.hpp"
#include "common/text.hpp"
#include "io/http_codec.hpp"

/// Streams whose lines end with CR LF, as text/event-stream allows.
namespace kumquatgap::review
{

namespace
{

constexpr int streams = 8;
constexpr int events = 24;
constexpr int slots = 12;
constexpr int deadline_ms = 8000;
constexpr milliseconds event_period{10};
constexpr milliseconds read_limit{6000};
constexpr std::size_t most_bytes = 65'536;
/// The rule allows this many.
constexpr int allowed_losses = 3;

class event_source
{
public:
    event_source(small_deployment& deployment, const std::string& line_end)
        : m_deployment{deployment}, m_line_end{line_end}
    {
        for (int i = 0; i < 2; ++i)
        {
            const auto id = common::concat("i-draft-", i);
            deployment.add_target(
                id, "kumquat-pool", slots,
                [this, id](const io::http_request& request, const sequential_target::reply& out,
                           const std::function<void()>& done)
                {
                    m_deployment.record(
                        common::concat(id, " runs ", request.headers.find("x-request-id"),
                                       " after ", request.headers.find("last-event-id")));
                    int seen = 0;
                    common::parse_number(request.headers.find("last-event-id"), seen);
                    out.write(stand_ins::stream_head(request));
                    send_event(seen + 1, out, done);
                });
        }
    }

private:
    void send_event(int number, const sequential_target::reply& out,
                    const std::function<void()>& done)
    {
        if (number > events || !out.is_open())
        {
            out.write(io::last_chunk);
            return done();
        }
        out.write(io::to_chunk(common::concat("id: ", number, m_line_end, "data: piece ", number,
                                              m_line_end, m_line_end)));
        m_timers.push_back(m_deployment.loop().after(event_period, [this, number, out, done]
                                                     { send_event(number + 1, out, done); }));
    }

    small_deployment& m_deployment;
    std::string m_line_end;
    std::list<io::timer_handle> m_timers;
};

} // namespace

verdict stream_with_other_line_ends(const case_options& options)
{
    small_deployment deployment{options, 1};
    const event_source source{deployment, options.has_trouble ? "\r\n" : "\n"};
    deployment.add_target("i-order-0", "order-desk", slots,
                          [](const io::http_request& request, const sequential_target::reply& out,
                             const std::function<void()>& done)
                          {
                              out.write(stand_ins::whole_answer(request, 200, "small"));
                              done();
                          });
    if (!deployment.start_serving(
            nlohmann::json::array({make_route("/drafts/", "streaming", "kumquat-pool", 8000, 2),
                                   make_route("/stock/", "safe", "order-desk", 800, 2)})))
        return verdict::cannot_run;
    int lost = 0;
    for (int i = 0; i < streams; ++i)
    {
        raw_connection connection{deployment.address(0)};
        const auto id = common::concat("draft-", i);
        // An answered request first, so that the connection is a kept one.
        connection.send(to_bytes(small_deployment::make_request(
            "GET", "/stock/1", common::concat("stock-", i), deadline_ms)));
        const auto is_answered = [&]
        {
            connection.read(most_bytes);
            return connection.received().ends_with("small");
        };
        if (!deployment.wait_until(is_answered, read_limit))
            return verdict::cannot_run;
        connection.forget_received();
        connection.send(
            to_bytes(small_deployment::make_request("POST", "/drafts/1", id, deadline_ms, "{}")));
        const auto is_over = [&]
        {
            connection.read(most_bytes);
            return connection.has_ended() || connection.received().ends_with(io::last_chunk);
        };
        deployment.wait_until(is_over, read_limit);
        const auto& text = connection.received();
        const bool is_whole =
            text.ends_with(io::last_chunk) &&
            text.find(common::concat("data: piece ", events)) != std::string::npos;
        lost += is_whole ? 0 : 1;
        deployment.record(common::concat(id, is_whole ? " whole" : " not whole", ", ", text.size(),
                                         " bytes, closed ", connection.has_ended() ? 1 : 0));
    }
    deployment.record(common::concat("streams without their events ", lost, " of ", streams));
    return lost > allowed_losses ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
