#include "late_repeats.hpp"
#include "platform_rank_wire.hpp"
#include "process.hpp"
#include "rank_agent/order_sender.hpp"
#include "rank_agent/remote_rank_driver.hpp"
#include "scripted_target.hpp"
#include "target_answers.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace kumquatgap;
using common::milliseconds;
using experts::order_outcome;
using stand_ins::late_repeats;
using stand_ins::scripted_target;

namespace
{

constexpr milliseconds response_timeout{2000};
constexpr milliseconds max_wait{5000};

/// A rank that sends each of its responses again, late. Whoever sends the requests runs in the same
/// loop.
class repeating_rank
{
public:
    repeating_rank() = default;

    void run_until(const std::function<bool()>& condition)
    {
        constexpr milliseconds check_period{5};
        for (const auto start = common::now(); !condition();)
        {
            cr_assert_lt((common::now() - start).count(), max_wait.count());
            const auto timer = loop.after(check_period, [this] { loop.stop(); });
            loop.run();
        }
    }

    /// Sends an order, which the rank answers with a status, and returns how the sender ended it.
    order_outcome send(rank_agent::order_sender& orders, int status)
    {
        m_order_status = status;
        std::optional<order_outcome> out;
        orders.send(experts::rank_order{.kind = experts::order_kind::release,
                                        .fence = 1,
                                        .epoch = 1,
                                        .version = 0,
                                        .pass = 1,
                                        .map = {}},
                    response_timeout,
                    [&out](order_outcome end, std::optional<milliseconds> /*response_time*/)
                    { out = end; });
        run_until([&out] { return out.has_value(); });
        return *out;
    }

    /// The pass in the latest report; each report is one pass later.
    int pass() const { return m_pass; }
    const std::string& address() const { return m_target.address(); }
    /// The ids of all requests, in their order.
    std::vector<std::string> request_ids() const
    {
        std::vector<std::string> out;
        for (const auto& it : m_target.requests())
            out.emplace_back(it.headers.find("x-request-id"));
        return out;
    }

    io::event_loop loop;
    io::http_client client{loop};
    platform::platform_rank_adapter adapter;

private:
    void take(const io::http_request& request, const scripted_target::reply& out)
    {
        m_repeats.send_due(out);
        const auto text =
            request.method == "POST"
                ? stand_ins::whole_answer(request, m_order_status, "{}")
                : stand_ins::whole_answer(
                      request, 200,
                      common::concat(R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},)"
                                     R"("size":1,"map":0,"step":)",
                                     ++m_pass, "}"));
        out.write(text);
        m_repeats.plan(out, text);
    }

    int m_order_status = 202;
    int m_pass = 0;
    late_repeats m_repeats;
    scripted_target m_target{loop, failures::free_address(),
                             [this](const io::http_request& request,
                                    const scripted_target::reply& out) { take(request, out); }};
};

} // namespace

/// The late repeat of an acceptance was taken for the acceptance of the next order, so that a rank
/// counted as settled by an order that it had refused.
Test(rank_late_repeats, refused_order_is_not_accepted_by_the_repeat_of_an_earlier_response)
{
    repeating_rank rank;
    rank_agent::rank_client client{rank.client, rank.adapter, rank.address()};
    rank_agent::order_sender orders{client, rank.adapter, "order_sent"};
    cr_assert_eq(rank.send(orders, 202), order_outcome::accepted);
    cr_assert_eq(rank.send(orders, 409), order_outcome::conflict);
    cr_assert_eq(rank.send(orders, 412), order_outcome::fenced);
    cr_assert_eq(rank.send(orders, 200), order_outcome::accepted);
}

/// The late repeat of a report was taken for the next one, so that the state of a rank before an
/// order counted as its state after the order.
Test(rank_late_repeats, report_is_not_the_repeat_of_an_earlier_one)
{
    repeating_rank rank;
    std::vector<std::int64_t> passes;
    rank_agent::remote_rank_driver driver{rank.client, rank.adapter, rank.address(),
                                          [&](const experts::rank_status& it)
                                          { passes.push_back(it.report.pass); }};
    for (std::size_t n = 1; n <= 4; ++n)
    {
        rank.run_until(
            [&]
            {
                driver.tick(common::now());
                return passes.size() == n;
            });
        cr_assert_eq(passes.back(), rank.pass(), "pass %d, not %d", static_cast<int>(passes.back()),
                     rank.pass());
    }
}

/// Two agents that drive a rank one after the other number their requests independently.
Test(rank_late_repeats, requests_of_all_senders_carry_different_ids)
{
    repeating_rank rank;
    rank_agent::rank_client own{rank.client, rank.adapter, rank.address()};
    rank_agent::rank_client other{rank.client, rank.adapter, rank.address()};
    rank_agent::order_sender own_orders{own, rank.adapter, "order_sent"};
    rank_agent::order_sender other_orders{other, rank.adapter, "order_sent_from_afar"};
    for (int i = 0; i < 3; ++i)
    {
        cr_assert_eq(rank.send(own_orders, 202), order_outcome::accepted);
        cr_assert_eq(rank.send(other_orders, 409), order_outcome::conflict);
    }
    auto ids = rank.request_ids();
    cr_assert_eq(ids.size(), 6);
    std::ranges::sort(ids);
    cr_assert_neq(ids.front(), "");
    cr_assert(std::ranges::adjacent_find(ids) == ids.end());
}
