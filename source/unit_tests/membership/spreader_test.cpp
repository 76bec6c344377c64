#include "membership/spreader.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::membership;
using common::milliseconds;
using common::timestamp;

namespace
{

timestamp at(milliseconds d)
{
    return timestamp{} + std::chrono::hours{1} + d;
}

/// A watcher that has read some keys, among peers.
struct watcher_with_peers
{
    spreader it;

    explicit watcher_with_peers(spreader_options options, int peers)
        : it{{"self", "10.0.0.1:1"}, options, 1}
    {
        std::vector<peer> all;
        all.reserve(static_cast<std::size_t>(peers));
        for (int i = 0; i < peers; ++i)
            all.push_back({"p" + std::to_string(i), "10.0.1." + std::to_string(i) + ":1"});
        it.set_peers(all);
        it.begin(at(milliseconds{0}));
        it.store_read({10, {{"a", "1", 9}}}, at(milliseconds{1}));
    }

    /// The store reports a change.
    actions change(kv::revision to, milliseconds t)
    {
        return it.store_changed({to - 1, to, {{"k", std::to_string(to), to}}}, at(t));
    }

    /// The changes that a peer is sent which says that it has all up to a revision.
    std::vector<config::delta> asked(kv::revision has, milliseconds t)
    {
        std::vector<config::delta> out;
        const digest d{"p0", "10.0.1.0:1", has, has, {{"self", milliseconds{0}}}};
        for (const auto& action : it.received(d, at(t)))
        {
            const auto* sent = std::get_if<send_message>(&action);
            if (sent == nullptr)
                continue;
            if (const auto* delta = std::get_if<delta_message>(&sent->what))
                out.push_back(delta->changes);
        }
        return out;
    }
};

std::size_t digests_to_peers(const actions& all)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        all, [](const auto& it) { return std::holds_alternative<send_message>(it); }));
}

} // namespace

/// Load pattern: hundreds of targets come at once, and each gateway compares itself with many
/// others before the first answer has arrived. The first watcher sent all of it to each, each time:
/// 16 MB/s at 300 machines.
Test(spreader, what_is_on_its_way_to_a_peer_is_not_sent_again)
{
    watcher_with_peers w{{}, 20};
    w.change(11, milliseconds{10});
    const auto first = w.asked(10, milliseconds{20});
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(first.front().to, 11);
    cr_assert(w.asked(10, milliseconds{30}).empty());
    // Only what came since then follows.
    w.change(12, milliseconds{40});
    const auto second = w.asked(10, milliseconds{50});
    cr_assert_eq(second.size(), 1U);
    cr_assert_eq(second.front().from, 11);
    cr_assert_eq(second.front().to, 12);
}

Test(spreader, changes_that_were_lost_are_sent_again)
{
    spreader_options options;
    watcher_with_peers w{options, 20};
    w.change(11, milliseconds{10});
    w.asked(10, milliseconds{20});
    const auto again = w.asked(10, milliseconds{20} + options.resend_after);
    cr_assert_eq(again.size(), 1U);
    cr_assert_eq(again.front().from, 10);
    cr_assert_eq(again.front().to, 11);
}

Test(spreader, only_a_watcher_that_reports_is_told_of_each_change_by_all)
{
    // A process that does not watch, whose first watcher is another one.
    for (const bool reports : {true, false})
    {
        spreader_options options;
        options.reports = reports;
        spreader it{{"self", "10.0.0.1:1"}, options, 1};
        it.set_peers({{"p0", "10.0.1.0:1"},
                      {"p1", "10.0.1.1:1"},
                      {"p2", "10.0.1.2:1"},
                      {"p3", "10.0.1.3:1"},
                      {"p4", "10.0.1.4:1"}});
        it.begin(at(milliseconds{0}));
        it.received(digest{"p0", "10.0.1.0:1", 0, 0, {{"p0", milliseconds{0}}}},
                    at(milliseconds{1}));
        const auto out = it.received(snapshot_message{10, {{"a", "1", 9}}}, at(milliseconds{2}));
        cr_assert_eq(digests_to_peers(out), options.fan_out + (reports ? 1 : 0));
    }
}
