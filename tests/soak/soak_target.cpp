#include "soak_target.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

namespace kumquatgap::soak
{

using common::milliseconds;
using platform_tests::whole_answer;

namespace
{

constexpr milliseconds slow_answer{400};
constexpr milliseconds event_gap{15};
constexpr std::size_t answer_bytes = 3000;
/// The event in which a broken stream ends.
constexpr int cut_event = 5;
/// What a target that repeats refuses of its requests, and repeats of its responses.
constexpr double refused_share = 0.25;
constexpr double repeated_share = 0.5;

} // namespace

std::string own_answer(const std::string& id)
{
    auto out = "answer to " + id + " ";
    out.resize(answer_bytes, '.');
    return out;
}

soak_target::soak_target(platform_tests::gateway_deployment& site, run_counts& runs,
                         service_repeats& repeats, std::string id, std::string service)
    : m_site{site}, m_runs{runs}, m_repeats{repeats}, m_id{std::move(id)}, m_service{
                                                                               std::move(service)}
{
    auto& real = site.add_target(m_id, m_service,
                                 [this](const io::http_request& request, const reply& out)
                                 { take(request, out); });
    m_relay =
        std::make_unique<failures::relay>(site.loop(), failures::free_address(), real.address());
    put_entry();
}

void soak_target::put_entry()
{
    m_site.put_entry(m_id, m_service, m_relay->address());
}

void soak_target::remove_entry()
{
    m_site.store().remove("servers/" + m_id);
}

void soak_target::start_anew()
{
    remove_entry();
    m_relay->reset_open_connections();
    const auto base = m_id.substr(0, m_id.find('+'));
    m_id = common::concat(base, "+", ++m_starts);
    put_entry();
}

void soak_target::start_repeating(std::uint64_t seed)
{
    m_is_repeating = true;
    m_random.seed(seed);
}

bool soak_target::draws(double share)
{
    return m_is_repeating && std::uniform_real_distribution<>{0, 1}(m_random) < share;
}

void soak_target::refuse(const io::http_request& request, const reply& out, int status)
{
    const auto name = m_is_repeating ? common::concat("At-Server: ", m_id, "\r\n") : std::string{};
    write_whole(out,
                whole_answer(request, status, "", common::concat("X-Not-Executed: 1\r\n", name)));
}

void soak_target::write_whole(const reply& out, const std::string& response)
{
    out.write(response);
    plan_repeat(out, response);
}

void soak_target::plan_repeat(const reply& out, const std::string& response)
{
    if (draws(repeated_share))
        m_late_repeats.plan(out, response);
}

void soak_target::take(const io::http_request& request, const reply& out)
{
    m_late_repeats.send_due(out);
    const std::string id{request.headers.find("x-request-id")};
    m_repeats[m_service].record_arrival(id, common::now());
    if (request.headers.find("x-expect-instance") != m_id)
        return refuse(request, out, 421);
    if (m_mood == target_mood::refuses || draws(refused_share))
        return refuse(request, out, 503);
    ++m_runs[id];
    if (m_mood == target_mood::is_slow)
    {
        m_timers.push_back(
            m_site.loop().after(slow_answer, [this, request, out] { answer(request, out); }));
        return;
    }
    answer(request, out);
}

void soak_target::answer(const io::http_request& request, const reply& out)
{
    const std::string id{request.headers.find("x-request-id")};
    const auto own = own_answer(id);
    switch (m_mood)
    {
    case target_mood::resets:
        return out.reset();
    case target_mood::fails:
        return write_whole(out, whole_answer(request, 500, own));
    case target_mood::mixes_up:
    {
        auto other = request;
        other.headers = {{"X-Request-Id", "other-" + id}};
        return out.write(whole_answer(other, 200, own_answer("other-" + id)));
    }
    default:
        break;
    }
    if (m_service == "engine")
        return stream(request, out);
    const auto whole = whole_answer(request, 200, own);
    if (m_mood == target_mood::sends_surplus)
        return out.write(whole + whole);
    if (m_mood != target_mood::cuts)
        return write_whole(out, whole);
    out.write(whole.substr(0, whole.size() - own.size() / 2));
    out.reset();
}

void soak_target::stream(const io::http_request& request, const reply& out)
{
    int first = 0;
    const auto text = request.headers.find("last-event-id");
    if (!text.empty())
        common::parse_number(text, first);
    out.write(platform_tests::stream_head(request));
    send_event(request, out, first + 1, first + 1);
}

void soak_target::send_event(const io::http_request& request, const reply& out, int first, int n)
{
    if (!out.is_open())
        return;
    if (n > last_event)
    {
        out.write(io::last_chunk);
        return plan_repeat(
            out, common::concat(platform_tests::stream_head(request),
                                io::to_chunk(platform_tests::events_text(first, last_event)),
                                io::last_chunk));
    }
    if (n == cut_event && m_mood == target_mood::cuts)
    {
        out.write("10\r\nid: 5\ndata: pie");
        return out.reset();
    }
    out.write(platform_tests::stream_event(n));
    m_timers.push_back(m_site.loop().after(event_gap, [this, request, out, first, n]
                                           { send_event(request, out, first, n + 1); }));
}

} // namespace kumquatgap::soak
