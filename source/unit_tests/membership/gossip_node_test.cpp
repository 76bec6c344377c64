#include "membership/gossip_node.hpp"

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

/// A watcher with peers that has read some keys.
struct watcher_with_peers
{
    gossip_node it;

    explicit watcher_with_peers(gossip_options options, int peers)
        : it{{"self", "10.0.0.1:1"}, options, 1}
    {
        std::vector<peer> all;
        all.reserve(static_cast<std::size_t>(peers));
        for (int i = 0; i < peers; ++i)
            all.push_back({"p" + std::to_string(i), "10.0.1." + std::to_string(i) + ":1"});
        it.set_peers(all);
        it.begin(at(milliseconds{0}));
        it.read_finished({10, {{"a", "1", 9}}}, at(milliseconds{1}));
    }

    /// Reports a change of the store.
    actions change(kv::revision to, milliseconds t)
    {
        return it.store_changed({to - 1, to, {{"k", std::to_string(to), to}}}, at(t), at(t));
    }

    /// The deltas in response to the digest of a peer whose replica has a given revision.
    std::vector<config::delta> deltas_for_peer_at(kv::revision peer_revision, milliseconds t)
    {
        std::vector<config::delta> out;
        const digest d{
            "p0", "10.0.1.0:1", peer_revision, peer_revision, {{"self", milliseconds{0}}}};
        for (const auto& action : it.handle(d, at(t)))
        {
            const auto* sent = std::get_if<send_message>(&action);
            if (sent == nullptr)
                continue;
            if (const auto* delta = std::get_if<delta_message>(&sent->payload))
                out.push_back(delta->changes);
        }
        return out;
    }
};

std::size_t count_sent_messages(const actions& all)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        all, [](const auto& it) { return std::holds_alternative<send_message>(it); }));
}

} // namespace

/// When hundreds of targets start at once, each gateway sends its digest several times before the
/// first response has arrived. The primary watcher sent all changes in response to each digest, in
/// all 16 MB/s with 300 machines.
Test(gossip_node, changes_in_flight_are_not_resent)
{
    watcher_with_peers w{{}, 20};
    w.change(11, milliseconds{10});
    const auto first = w.deltas_for_peer_at(10, milliseconds{20});
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(first.front().to, 11);
    cr_assert(w.deltas_for_peer_at(10, milliseconds{30}).empty());
    // Only the changes after those already sent are sent.
    w.change(12, milliseconds{40});
    const auto second = w.deltas_for_peer_at(10, milliseconds{50});
    cr_assert_eq(second.size(), 1U);
    cr_assert_eq(second.front().from, 11);
    cr_assert_eq(second.front().to, 12);
}

Test(gossip_node, changes_are_resent_after_timeout)
{
    gossip_options options;
    watcher_with_peers w{options, 20};
    w.change(11, milliseconds{10});
    w.deltas_for_peer_at(10, milliseconds{20});
    const auto again = w.deltas_for_peer_at(10, milliseconds{20} + options.resend_after);
    cr_assert_eq(again.size(), 1U);
    cr_assert_eq(again.front().from, 10);
    cr_assert_eq(again.front().to, 11);
}

Test(gossip_node, primary_watcher_gets_digests_only_if_it_reports)
{
    // The process does not watch; the primary watcher is p0.
    for (const bool report_propagation : {true, false})
    {
        gossip_options options;
        options.report_propagation = report_propagation;
        gossip_node it{{"self", "10.0.0.1:1"}, options, 1};
        it.set_peers({{"p0", "10.0.1.0:1"},
                      {"p1", "10.0.1.1:1"},
                      {"p2", "10.0.1.2:1"},
                      {"p3", "10.0.1.3:1"},
                      {"p4", "10.0.1.4:1"}});
        it.begin(at(milliseconds{0}));
        it.handle(digest{"p0", "10.0.1.0:1", 0, 0, {{"p0", milliseconds{0}}}}, at(milliseconds{1}));
        const auto out = it.handle(snapshot_message{{10, {{"a", "1", 9}}}}, at(milliseconds{2}));
        cr_assert_eq(count_sent_messages(out), options.fanout + (report_propagation ? 1 : 0));
    }
}

/// After the store was restored, its lower revisions counted as a regression for good.
Test(gossip_node, snapshot_of_restored_store_replaces_newer_revisions)
{
    gossip_node it{{"self", "10.0.0.1:1"}, {}, 1};
    it.begin(at(milliseconds{0}));
    it.read_finished({46, {{"a", "old", 46}, {"b", "kept", 3}}, 1}, at(milliseconds{1}));
    it.store_failed(at(milliseconds{2}));
    it.read_finished({30, {{"a", "new", 20}}, 2}, at(milliseconds{3}));
    cr_assert_not(it.take_regression());
    cr_assert_eq(it.replica().position(), (kv::position{2, 30}));
    cr_assert_eq(it.replica().items().size(), 1U);
    cr_assert_eq(it.replica().items().at("a").value, "new");
    cr_assert(it.is_watching());
    // An answer that was under way when the store was restored.
    it.read_finished({50, {{"a", "late", 50}}, 1}, at(milliseconds{4}));
    cr_assert_eq(it.replica().items().at("a").value, "new");
    cr_assert(it.take_regression());
}

/// The revision that a watch had reached may exist again, for another change.
Test(gossip_node, changes_of_former_era_are_ignored)
{
    gossip_node it{{"self", "10.0.0.1:1"}, {}, 1};
    it.begin(at(milliseconds{0}));
    it.read_finished({10, {{"a", "1", 9}}, 1}, at(milliseconds{1}));
    const auto out = it.handle(snapshot_message{{8, {{"a", "2", 8}}, 2}}, at(milliseconds{2}));
    const auto stops_watch = std::ranges::any_of(out, [](const auto& a)
                                                 { return std::holds_alternative<stop_watch>(a); });
    cr_assert(stops_watch);
    it.store_changed({10, 11, {{"a", "3", 11}}, 1}, at(milliseconds{3}), at(milliseconds{3}));
    cr_assert_eq(it.replica().items().at("a").value, "2");
    it.handle(delta_message{{8, 12, {{"a", "4", 12}}, 1}}, at(milliseconds{4}));
    cr_assert_eq(it.replica().items().at("a").value, "2");
}

Test(gossip_node, peer_of_former_era_gets_snapshot)
{
    gossip_node it{{"self", "10.0.0.1:1"}, {}, 1};
    it.set_peers({{"p0", "10.0.1.0:1"}});
    it.begin(at(milliseconds{0}));
    it.read_finished({10, {{"a", "1", 9}}, 2}, at(milliseconds{1}));
    const auto out = it.handle(digest{"p0", "10.0.1.0:1", 500, 499, {}, 1}, at(milliseconds{1000}));
    const auto sends_snapshot = std::ranges::any_of(
        out,
        [](const auto& a)
        {
            const auto* sent = std::get_if<send_message>(&a);
            return sent != nullptr && std::holds_alternative<snapshot_message>(sent->payload);
        });
    cr_assert(sends_snapshot);
}
