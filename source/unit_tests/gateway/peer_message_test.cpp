#include "gateway/peer_message.hpp"

#include "io/datagram_socket.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace kumquatgap;
using gateway::peer_message;
using gateway::peer_state;
using gateway::read_peer_message;
using gateway::to_bytes;

namespace
{

constexpr common::timestamp now{common::milliseconds{1'000'000}};

/// Messages that the release before crash evidence sent (commit 6ec6246), in hexadecimal.
constexpr std::string_view s_old_loads =
    "a3656c6f616473a263652d30fa4000000063652d31fa3f000000646e616d6569676174657761792d3165746f"
    "6b656e6174";
constexpr std::string_view s_old_draining =
    "a4676c656176696e67a163652d371b000001a14628c83a656c6f616473a163652d30fa3f800000646e616d65"
    "69676174657761792d3165746f6b656e6174";

/// A message of the release before cold targets (commit 51fe1bf) with draining targets, limits,
/// sends and a report on retries.
constexpr std::string_view s_old_full =
    "a7676c656176696e67a163652d371b000001a14628c83a666c696d697473a163742d30a3666167655f6d7318"
    "28657065725f73fa40200000677374617274656407656c6f616473a163652d30fa3f800000646e616d656967"
    "6174657761792d316772657472696573a36461736b73f5636f776ea2687365727669636573a067736c6f745f"
    "6d731901f46372756e056573656e6473a163742d3082190384181e65746f6b656e6174";

peer_state old_full_state()
{
    peer_state out{
        .work = {{"e-0", 1.0}},
        .draining = {{"e-7", 1792178440250}},
        .crashes = {},
        .limits = {{"t-0", {7, 2.5, now - common::milliseconds{40}}}},
        .sends = {{"t-0", {now - common::milliseconds{900}, now - common::milliseconds{30}}}}};
    out.retries = policy::retry_report{
        .run = 5, .is_asking = true, .own = {.slot_length = common::milliseconds{500}}};
    return out;
}

std::string from_hex(std::string_view text)
{
    constexpr int base = 16;
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        out += static_cast<char>(std::stoi(std::string{text.substr(i, 2)}, nullptr, base));
    return out;
}

peer_message with_crash()
{
    peer_state state{{{"e-0", 1.0}}, {}, {}, {}, {}};
    state.crashes.crashes["e-1@5"] = {now - common::milliseconds{70}, true, {"s/p"}, {"s/q"}};
    state.crashes.served["s/q"] = now - common::milliseconds{900};
    state.crashes.quarantined["s/p"] = now - common::milliseconds{10};
    return {"gateway-1", state};
}

} // namespace

Test(peer_message, message_of_the_release_before_is_read)
{
    const auto it = read_peer_message(from_hex(s_old_draining), "t", now);
    cr_assert(it.has_value());
    cr_assert_eq(it->sender, "gateway-1");
    cr_assert_eq(it->state.work.at("e-0"), 1.0);
    cr_assert_eq(it->state.draining.at("e-7"), 1792178440250);
    cr_assert(it->state.crashes.empty());
}

/// The release before reads what it knows: without crashes the bytes are the same, and with them
/// its own fields are.
Test(peer_message, message_for_the_release_before_is_unchanged)
{
    cr_assert_eq(to_bytes({"gateway-1", {{{"e-0", 2.0}, {"e-1", 0.5}}, {}, {}, {}, {}}}, "t", now),
                 from_hex(s_old_loads));
    cr_assert_eq(
        to_bytes({"gateway-1", {{{"e-0", 1.0}}, {{"e-7", 1792178440250}}, {}, {}, {}}}, "t", now),
        from_hex(s_old_draining));
}

Test(peer_message, evidence_is_read_with_the_times_of_the_receiver)
{
    const auto sent = with_crash();
    const auto later = now + common::milliseconds{12'345};
    const auto it = read_peer_message(to_bytes(sent, "t", now), "t", later);
    cr_assert(it.has_value());
    const auto& crash = it->state.crashes.crashes.at("e-1@5");
    cr_assert_eq((later - crash.at).count(), 70);
    cr_assert(crash.is_confirmed);
    cr_assert_eq(crash.begun.count("s/p"), 1);
    cr_assert_eq(crash.waiting.count("s/q"), 1);
    cr_assert_eq((later - it->state.crashes.served.at("s/q")).count(), 900);
    cr_assert_eq((later - it->state.crashes.quarantined.at("s/p")).count(), 10);
}

/// The release before ignores the evidence about requests, and sends none.
Test(peer_message, evidence_about_requests_is_read)
{
    auto sent = with_crash();
    sent.state.request_crashes = sent.state.crashes;
    const auto it = read_peer_message(to_bytes(sent, "t", now), "t", now);
    cr_assert(it.has_value());
    cr_assert(it->state.request_crashes == sent.state.request_crashes);
    const auto without = read_peer_message(to_bytes(with_crash(), "t", now), "t", now);
    cr_assert(without.has_value() && without->state.request_crashes.empty());
}

/// The release before (commit aa05eaf) sent no reports on retries, and reads messages with them.
Test(peer_message, reports_on_retries_are_read_with_the_times_of_the_receiver)
{
    const auto later = now + common::milliseconds{12'345};
    policy::retry_report sent{.run = 0xffff'ffff'ffffU,
                              .is_asking = true,
                              .own = {.slot_length = common::milliseconds{500}}};
    sent.own.services["s"] = {{now - common::milliseconds{30}, 4, 1},
                              {now - common::milliseconds{530}, 0, 0},
                              {now - common::milliseconds{1030}, 7, 2},
                              {now - common::milliseconds{1530}, 0, 0}};
    sent.others[{"gateway-2", 5}] = sent.own;
    sent.known_since = now - common::milliseconds{10'000};
    peer_state state{{{"e-0", 1.0}}, {}, {}, {}, {}};
    state.retries = sent;
    const auto it = read_peer_message(to_bytes({"gateway-1", state}, "t", now), "t", later);
    cr_assert(it.has_value() && it->state.retries.has_value());
    const auto& read = *it->state.retries;
    cr_assert_eq(read.run, sent.run);
    cr_assert(read.is_asking);
    cr_assert_eq((later - *read.known_since).count(), 10'000);
    cr_assert(read.others.at({"gateway-2", 5}) == read.own);
    const auto& slots = read.own.services.at("s");
    cr_assert_eq(slots.size(), 3U, "empty old slots are not sent");
    cr_assert_eq((later - slots[2].start).count(), 1030);
    cr_assert_eq(slots[0].calls, 4);
    cr_assert_eq(slots[2].retries, 2);
    const auto bytes = to_bytes({"gateway-1", state}, "t", now);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_not(read_peer_message(bytes.substr(0, n), "t", now).has_value());
}

Test(peer_message, limits_and_sends_are_read_with_the_times_of_the_receiver)
{
    peer_state state;
    state.limits["t-0"] = {7, 2.5, now - common::milliseconds{40}};
    state.limits["t-1"] = {8, std::nullopt, now};
    state.sends["t-0"] = {now - common::milliseconds{900}, now - common::milliseconds{30}};
    const auto later = now + common::milliseconds{5000};
    const auto it = read_peer_message(to_bytes({"g", state}, "t", now), "t", later);
    cr_assert(it.has_value());
    cr_assert_eq(it->state.limits.at("t-0"),
                 (fleet::rate_limit{7, 2.5, later - common::milliseconds{40}}));
    cr_assert(!it->state.limits.at("t-1").per_second.has_value());
    cr_assert_eq((later - it->state.sends.at("t-0").front()).count(), 900);
}

/// Guards against gateways of two releases that don't read each other's messages.
Test(peer_message, release_before_cold_targets_is_read_and_reads_this_one)
{
    const auto it = read_peer_message(from_hex(s_old_full), "t", now);
    cr_assert(it.has_value());
    cr_assert(it->state == old_full_state());
    cr_assert(it->state.cold.empty());
    cr_assert_eq(to_bytes({"gateway-1", old_full_state()}, "t", now), from_hex(s_old_full),
                 "without cold targets the message is the same");
    // That release ignores fields that it does not know.
    auto state = old_full_state();
    state.cold["t-0"] = {7, now + common::milliseconds{2000}, now};
    auto message = nlohmann::json::from_cbor(to_bytes({"gateway-1", state}, "t", now));
    cr_assert_eq(message.erase("cold"), 1U);
    cr_assert(message == nlohmann::json::from_cbor(from_hex(s_old_full)));
}

Test(peer_message, cold_times_are_read_with_the_times_of_the_receiver)
{
    peer_state state;
    state.cold["t-0"] = {7, now + common::milliseconds{2500}, now - common::milliseconds{40}};
    cr_assert(!state.empty());
    const auto later = now + common::milliseconds{5000};
    const auto bytes = to_bytes({"g", state}, "t", now);
    const auto it = read_peer_message(bytes, "t", later);
    cr_assert(it.has_value());
    cr_assert_eq(it->state.cold.at("t-0"),
                 (fleet::cold_notice{7, later + common::milliseconds{2500},
                                     later - common::milliseconds{40}}));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert(!read_peer_message(bytes.substr(0, n), "t", later).has_value());
}

/// Guards against a message that is too long when a large data centre returns.
Test(peer_message, cold_times_of_many_targets_fit_a_datagram_beside_the_loads)
{
    constexpr int targets = 129;
    fleet::target_notices notices;
    peer_state state;
    for (int t = 0; t < targets; ++t)
    {
        const auto id = "i-" + std::to_string(1'000'000'000 + t);
        state.work[id] = t;
        notices.note_cold(id, {1768948500781, now + common::milliseconds{3000}, now},
                          fleet::notice_source::answer);
        if (t < 64)
            state.sends[id].assign(4, now - common::milliseconds{150});
    }
    state.cold = notices.cold_to_broadcast(now);
    cr_assert_eq(state.cold.size(), fleet::target_notices::max_broadcast_cold);
    cr_assert_leq(to_bytes({"gateway-1", state}, "t", now).size(),
                  io::datagram_socket::max_message_bytes);
}

Test(peer_message, foreign_or_damaged_messages_are_refused)
{
    const auto bytes = to_bytes(with_crash(), "t", now);
    cr_assert(!read_peer_message(bytes, "other", now).has_value());
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        cr_assert(!read_peer_message(bytes.substr(0, n), "t", now).has_value());
        auto damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x55);
        // Must not crash; some damage goes unnoticed.
        read_peer_message(damaged, "t", now);
    }
}

/// Longer messages are cut off on receipt, and with them the loads are lost.
Test(peer_message, evidence_of_a_lost_group_fits_a_datagram_beside_the_loads)
{
    constexpr int targets = 129;
    constexpr int parts_of_a_target = 24;
    policy::crash_attribution lost;
    peer_state state;
    for (int t = 0; t < targets; ++t)
    {
        const auto id = "i-" + std::to_string(1'000'000'000 + t);
        state.work[id] = t;
        for (int i = 0; i < parts_of_a_target; ++i)
            lost.record_lost(id + "@1768948500781",
                             {"assistant/" + std::to_string(t * parts_of_a_target + i)}, true, now);
    }
    for (int i = 0; i < targets; ++i)
    {
        state.crashes = lost.to_broadcast(now);
        cr_assert_leq(to_bytes({"gateway-1", state}, "t", now).size(),
                      io::datagram_socket::max_message_bytes);
    }
}

Test(peer_message, prompt_with_thousands_of_parts_fits_a_datagram)
{
    std::vector<std::string> parts(5000);
    std::ranges::generate(parts,
                          [i = 1'000'000]() mutable { return "assistant/" + std::to_string(i++); });
    policy::crash_attribution lost;
    lost.record_lost("t-0", parts, true, now);
    for (const auto& it : parts)
        lost.adopt(it, now);
    peer_state state;
    state.crashes = lost.to_broadcast(now);
    cr_assert_eq(state.crashes.crashes.size(), 1);
    cr_assert(!state.crashes.quarantined.empty());
    cr_assert_leq(to_bytes({"gateway-1", state}, "t", now).size(),
                  io::datagram_socket::max_message_bytes);
}
