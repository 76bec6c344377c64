#include "site.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

/// A faulty runner sends additional bytes after a complete response. They arrive late, when the
/// next request is already on the channel.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

constexpr milliseconds request_period{40};
constexpr milliseconds played_time{45'000};
constexpr int runners_of_service = 3;
/// The runner that is faulty, and how many of its answers are followed by additional bytes: one in
/// this many (0.03).
constexpr std::string_view faulty_runner = "desk-1";
constexpr std::size_t answers_each = 33;
/// The additional bytes: they name no request.
constexpr std::string_view additional_bytes =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

class late_bytes_case
{
public:
    verdict run()
    {
        for (int i = 1; i <= runners_of_service; ++i)
        {
            const auto id = common::concat("desk-", i);
            m_site.add_runner(id, "order-desk",
                              [this, id](const auto& request, const auto& out)
                              { serve(id, request, out); });
        }
        m_site.put_config(site::config(1));
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        std::vector<call_ptr> calls;
        const auto end = m_site.elapsed() + played_time;
        while (m_site.elapsed() < end)
        {
            calls.push_back(m_site.send(
                m_site.request("/reserve/coil", common::concat("order-", calls.size() + 1), "{}"),
                calls.size() % m_site.gateways()));
            m_site.run_for(request_period);
        }
        m_site.wait_until([&] { return std::ranges::all_of(calls, &requester_call::ended); });
        return judge(calls);
    }

private:
    void serve(const std::string& id, const io::http_request& request,
               const scripted_target::reply& out)
    {
        const auto connection = out.connection.lock();
        const std::string order{request.headers.find("x-request-id")};
        m_are_bytes_due =
            m_are_bytes_due || (id == faulty_runner && ++m_answers % answers_each == 0);
        if (has_trouble() && id == faulty_runner && m_are_bytes_due &&
            m_answered.contains(connection.get()))
        {
            m_are_bytes_due = false;
            m_site.record(common::concat("runner ", id, ": the additional bytes arrive"));
            out.write(additional_bytes);
        }
        m_answered.insert(connection.get());
        ++m_runs[order];
        m_site.record(common::concat("runner ", id, ": runs ", order));
        out.write(stand_ins::whole_answer(request, 200, "reserved"));
    }

    verdict judge(const std::vector<call_ptr>& calls)
    {
        int twice = 0;
        int refused = 0;
        for (const auto& it : calls)
        {
            const auto runs = m_runs[it->id];
            const bool is_promise = it->status == 503 || it->status == 429;
            if (runs > 1)
                m_site.record(common::concat("TWICE: ", it->id, " ran ", runs, " times"));
            if (is_promise && runs > 0)
                m_site.record(
                    common::concat("REFUSED: ", it->id, " was answered ", it->status, " and ran"));
            twice += runs > 1 ? 1 : 0;
            refused += is_promise && runs > 0 ? 1 : 0;
        }
        m_site.record(common::concat(calls.size(), " orders, ", twice, " ran twice, ", refused,
                                     " were refused and ran"));
        return twice + refused > 0 ? verdict::broken : verdict::held;
    }

    site m_site{{.gateways = 2}};
    std::set<const void*> m_answered;
    std::map<std::string, int> m_runs;
    std::size_t m_answers = 0;
    bool m_are_bytes_due = false;
};

} // namespace

int main()
{
    return run_case([] { return late_bytes_case{}.run(); });
}
