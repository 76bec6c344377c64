#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr int last_event = 3;
constexpr std::string_view deadly_part = "dead01";

/// Engines that end when they begin to answer a prompt with the deadly part.
class fragile_engines
{
public:
    fragile_engines(int engines, int gateways) : m_deployment{gateways}
    {
        for (int i = 0; i < engines; ++i)
            add_engine(common::concat("e-", i));
        m_deployment.put_config(m_deployment.config(5));
        for (int i = 0; i < gateways; ++i)
            cr_assert(m_deployment.wait_ready(static_cast<std::size_t>(i)));
    }

    gateway_deployment& deployment() { return m_deployment; }

    void add_engine(const std::string& id)
    {
        const auto index = m_engines.size();
        m_engines.push_back(
            &m_deployment.add_target(id, "engine",
                                     [this, index](const io::http_request& it, const reply& out)
                                     { answer(index, it, out); }));
    }

    /// A request with the deadly part; no two are alike.
    io::http_request deadly_request()
    {
        return request(common::concat("aa01:40,", deadly_part, ":200"));
    }

    outcome call_deadly(std::size_t gateway = 0)
    {
        return m_deployment.call(deadly_request(), gateway);
    }

    /// A request with the same first part.
    outcome call_sound(std::size_t gateway = 0)
    {
        return m_deployment.call(request("aa01:40"), gateway);
    }

    /// How long engines read a prompt with the deadly part before they begin to answer it.
    void set_deadly_delay(common::milliseconds delay) { m_deadly_delay = delay; }

    std::ptrdiff_t crashed() const
    {
        return std::ranges::count_if(m_engines, [](const auto* it) { return it->has_crashed(); });
    }

    /// Requests with the deadly part that have reached an engine.
    std::ptrdiff_t deadly_arrivals() const
    {
        std::ptrdiff_t n = 0;
        for (const auto* engine : m_engines)
            n += std::ranges::count_if(engine->requests(), &is_deadly);
        return n;
    }

    /// Ends the engine of the next request, whatever its prompt is.
    void crash_at_next_request() { m_crashes_next = true; }

private:
    io::http_request request(const std::string& parts)
    {
        auto it = m_deployment.request("/draft/x", common::concat("r", ++m_calls), "{}");
        it.headers.add("X-Prompt-Prefix", common::concat(parts, ",", m_calls, "f:30"));
        return it;
    }

    static bool is_deadly(const io::http_request& it)
    {
        return it.headers.find("x-prompt-prefix").find(deadly_part) != std::string_view::npos;
    }

    void answer(std::size_t index, const io::http_request& request, const reply& out)
    {
        if (is_deadly(request) && m_deadly_delay.count() > 0)
        {
            m_timers.push_back(m_deployment.loop().after(m_deadly_delay, [this, index, request, out]
                                                         { begin_deadly(index, request, out); }));
            return;
        }
        out.write(stream_head(request));
        if (is_deadly(request) || std::exchange(m_crashes_next, false))
            return m_engines[index]->crash();
        for (int i = 1; i <= last_event; ++i)
            out.write(stream_event(i));
        out.write(io::last_chunk);
    }

    /// An engine drops a request whose connection was closed.
    void begin_deadly(std::size_t index, const io::http_request& request, const reply& out)
    {
        if (!out.is_open())
            return;
        out.write(stream_head(request));
        m_engines[index]->crash();
    }

    gateway_deployment m_deployment;
    std::vector<scripted_target*> m_engines;
    std::vector<io::timer_handle> m_timers;
    common::milliseconds m_deadly_delay{0};
    int m_calls = 0;
    bool m_crashes_next = false;
};

} // namespace

/// Guards against a prompt that ends every engine that answers it: the gateway sent it to one
/// engine after the other, and so did each new request with the same part.
Test(gateway_deadly_prompt, part_that_crashes_engines_reaches_no_more_of_them)
{
    fragile_engines engines{6, 2};
    cr_assert_eq(engines.call_sound(0).answer.status, 200);
    for (std::size_t i = 0; i < 12; ++i)
        engines.call_deadly(i % 2);
    cr_assert_leq(engines.crashed(), 2);
    cr_assert_leq(engines.deadly_arrivals(), 2);
    for (std::size_t i = 0; i < 4; ++i)
        cr_assert_eq(engines.call_sound(i % 2).answer.status, 200);
    const auto since = common::now();
    const auto refused = engines.call_deadly(1);
    cr_assert_eq(refused.answer.status, 503);
    cr_assert(!refused.field("retry-after").empty());
    cr_assert_lt((common::now() - since).count(), 500);
}

/// Guards against a gateway that forgets at its restart which part is deadly.
Test(gateway_deadly_prompt, restarted_gateway_knows_the_part)
{
    fragile_engines engines{4, 1};
    cr_assert_eq(engines.call_sound().answer.status, 200);
    for (int i = 0; i < 4; ++i)
        engines.call_deadly();
    const auto arrivals = engines.deadly_arrivals();
    cr_assert_leq(arrivals, 2);
    cr_assert(engines.deployment().wait_until(
        [&] { return engines.deployment().log().find("quarantine_stored") != std::string::npos; }));
    engines.deployment().restart_gateway(0);
    cr_assert(engines.deployment().wait_ready());
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(engines.call_deadly().answer.status, 503);
    cr_assert_eq(engines.deadly_arrivals(), arrivals);
    cr_assert_eq(engines.call_sound().answer.status, 200);
}

/// Guards against a part that is blamed although it was served before: the engine ended for another
/// reason.
Test(gateway_deadly_prompt, served_part_is_not_blamed_for_a_crash)
{
    fragile_engines engines{4, 1};
    cr_assert_eq(engines.call_sound().answer.status, 200);
    engines.crash_at_next_request();
    cr_assert_eq(engines.call_sound().answer.status, 200, "resumed at another engine");
    cr_assert_eq(engines.crashed(), 1);
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(engines.call_sound().answer.status, 200);
}

/// Guards against a second engine that is reading such a prompt when the first one crashes: the
/// call was left there until that engine crashed as well.
Test(gateway_deadly_prompt, call_in_flight_is_withdrawn_when_its_part_is_suspected)
{
    fragile_engines engines{4, 1};
    cr_assert_eq(engines.call_sound().answer.status, 200);
    engines.set_deadly_delay(common::milliseconds{2000});
    const auto slow = engines.deployment().begin(engines.deadly_request());
    cr_assert(engines.deployment().wait_until([&] { return engines.deadly_arrivals() == 1; }));
    engines.set_deadly_delay(common::milliseconds{0});
    engines.call_deadly();
    engines.deployment().run_for(common::milliseconds{2500});
    cr_assert_eq(engines.crashed(), 1);
    cr_assert(slow->result.ended);
    // Before the conclusion, which takes longer than an engine may need to begin.
    const auto log = engines.deployment().log();
    const auto withdrawn = log.find("event=suspect_call_withdrawn");
    cr_assert_neq(withdrawn, std::string::npos);
    cr_assert_lt(withdrawn, log.find("event=prompt_part_quarantined"));
}
