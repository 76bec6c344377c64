#include "gateway/peer_message.hpp"

#include "common/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquatgap::gateway
{

using common::milliseconds;
using common::timestamp;
using nlohmann::json;

namespace
{

using times = std::map<std::string, timestamp>;

json to_ages(const times& from, timestamp now)
{
    auto out = json::object();
    for (const auto& [key, at] : from)
        out[key] = (now - at).count();
    return out;
}

times from_ages(const json& from, timestamp now)
{
    times out;
    for (const auto& [key, age] : from.items())
        out.emplace(key, now - milliseconds{age.get<std::int64_t>()});
    return out;
}

json to_json(const policy::crash_evidence& it, timestamp now)
{
    auto lost = json::object();
    for (const auto& [target, crash] : it.crashes)
        lost[target] = {{"age_ms", (now - crash.at).count()},
                        {"confirmed", crash.is_confirmed},
                        {"begun", crash.begun},
                        {"waiting", crash.waiting}};
    for (const auto& [target, crash] : it.crashes)
    {
        if (!crash.requests.empty())
            lost[target]["requests"] = crash.requests;
    }
    return {{"lost", std::move(lost)},
            {"served", to_ages(it.served, now)},
            {"quarantined", to_ages(it.quarantined, now)}};
}

policy::crash_evidence read_crashes(const json& from, timestamp now)
{
    using parts = std::set<std::string>;
    policy::crash_evidence out;
    for (const auto& [target, it] : from.at("lost").items())
        out.crashes.emplace(target,
                            policy::crash_evidence::crash{
                                now - milliseconds{it.at("age_ms").get<std::int64_t>()},
                                it.at("confirmed").get<bool>(), it.at("begun").get<parts>(),
                                it.at("waiting").get<parts>(), it.value("requests", parts{})});
    out.served = from_ages(from.at("served"), now);
    out.quarantined = from_ages(from.at("quarantined"), now);
    return out;
}

json to_json(const fleet::rate_limits& limits, timestamp now)
{
    auto out = json::object();
    for (const auto& [target, it] : limits)
    {
        out[target] = {{"started", it.started_at}, {"age_ms", (now - it.heard_at).count()}};
        if (it.per_second)
            out[target]["per_s"] = *it.per_second;
    }
    return out;
}

fleet::rate_limits read_limits(const json& from, timestamp now)
{
    fleet::rate_limits out;
    for (const auto& [target, it] : from.items())
    {
        fleet::rate_limit limit{it.at("started").get<std::int64_t>(), std::nullopt,
                                now - milliseconds{it.at("age_ms").get<std::int64_t>()}};
        if (it.contains("per_s"))
            limit.per_second = it.at("per_s").get<double>();
        out.emplace(target, limit);
    }
    return out;
}

json to_json(const fleet::cold_notices& cold, timestamp now)
{
    auto out = json::object();
    for (const auto& [target, it] : cold)
        out[target] = {{"started", it.started_at},
                       {"age_ms", (now - it.heard_at).count()},
                       {"left_ms", (it.until - now).count()}};
    return out;
}

fleet::cold_notices read_cold(const json& from, timestamp now)
{
    fleet::cold_notices out;
    for (const auto& [target, it] : from.items())
    {
        const milliseconds left{std::min<std::int64_t>(
            it.at("left_ms").get<std::int64_t>(), fleet::target_notices::max_cold_time.count())};
        out.emplace(target,
                    fleet::cold_notice{it.at("started").get<std::int64_t>(), now + left,
                                       now - milliseconds{it.at("age_ms").get<std::int64_t>()}});
    }
    return out;
}

json to_json(const policy::recent_sends& sends, timestamp now)
{
    auto out = json::object();
    for (const auto& [target, times] : sends)
    {
        auto ages = json::array();
        for (const auto at : times)
            ages.push_back((now - at).count());
        out[target] = std::move(ages);
    }
    return out;
}

policy::recent_sends read_sends(const json& from, timestamp now)
{
    policy::recent_sends out;
    for (const auto& [target, ages] : from.items())
    {
        auto& times = out[target];
        for (const auto& age : ages)
            times.push_back(now - milliseconds{age.get<std::int64_t>()});
    }
    return out;
}

/// The age of the newest slot, then the calls and retries of each, without the empty oldest ones.
json to_json(const policy::service_usage& it, timestamp now)
{
    auto out = json::array({(now - it.front().start).count()});
    std::size_t used = 1;
    for (const auto& slot : it)
    {
        out.push_back(slot.calls);
        out.push_back(slot.retries);
        if (slot.calls != 0 || slot.retries != 0)
            used = out.size();
    }
    out.erase(out.begin() + static_cast<json::difference_type>(used), out.end());
    return out;
}

json to_json(const policy::run_usage& it, timestamp now)
{
    auto services = json::object();
    for (const auto& [service, usage] : it.services)
    {
        if (!usage.empty())
            services[service] = to_json(usage, now);
    }
    return {{"slot_ms", it.slot_length.count()}, {"services", std::move(services)}};
}

policy::run_usage read_usage(const json& from, timestamp now)
{
    policy::run_usage out{.slot_length = milliseconds{from.at("slot_ms").get<std::int64_t>()}};
    for (const auto& [service, numbers] : from.at("services").items())
    {
        auto start = now - milliseconds{numbers.at(0).get<std::int64_t>()};
        policy::service_usage usage{{start}};
        for (std::size_t i = 1; i + 1 < numbers.size(); i += 2)
        {
            if (i > 1)
                usage.push_back({start});
            usage.back().calls = numbers.at(i).get<std::int64_t>();
            usage.back().retries = numbers.at(i + 1).get<std::int64_t>();
            start -= out.slot_length;
        }
        out.services.emplace(service, std::move(usage));
    }
    return out;
}

json to_json(const policy::retry_report& it, timestamp now)
{
    json out = {{"run", it.run}, {"asks", it.is_asking}, {"own", to_json(it.own, now)}};
    auto others = json::array();
    for (const auto& [run, usage] : it.others)
        others.push_back(
            {{"gateway", run.gateway}, {"run", run.number}, {"used", to_json(usage, now)}});
    if (!others.empty())
        out["others"] = std::move(others);
    if (it.known_since)
        out["known_ms"] = (now - *it.known_since).count();
    return out;
}

policy::retry_report read_retries(const json& from, timestamp now)
{
    policy::retry_report out{.run = from.at("run").get<std::uint64_t>(),
                             .is_asking = from.at("asks").get<bool>(),
                             .own = read_usage(from.at("own"), now)};
    for (const auto& it : from.value("others", json::array()))
        out.others.emplace(policy::gateway_run{it.at("gateway").get<std::string>(),
                                               it.at("run").get<std::uint64_t>()},
                           read_usage(it.at("used"), now));
    if (from.contains("known_ms"))
        out.known_since = now - milliseconds{from.at("known_ms").get<std::int64_t>()};
    return out;
}

} // namespace

std::string to_bytes(const peer_message& it, const std::string& token, timestamp now)
{
    json message = {{"token", token}, {"name", it.sender}, {"loads", it.state.work}};
    if (!it.state.draining.empty())
        message["leaving"] = it.state.draining;
    if (!it.state.crashes.empty())
        message["crashes"] = to_json(it.state.crashes, now);
    if (!it.state.request_crashes.empty())
        message["request_crashes"] = to_json(it.state.request_crashes, now);
    if (!it.state.limits.empty())
        message["limits"] = to_json(it.state.limits, now);
    if (!it.state.sends.empty())
        message["sends"] = to_json(it.state.sends, now);
    if (it.state.retries)
        message["retries"] = to_json(*it.state.retries, now);
    if (!it.state.cold.empty())
        message["cold"] = to_json(it.state.cold, now);
    const auto bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

std::optional<peer_message> read_peer_message(std::string_view bytes, const std::string& token,
                                              timestamp now)
{
    const auto message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try
    {
        if (message.is_discarded() || message.at("token") != token)
            return std::nullopt;
        peer_message out{message.at("name"), {}};
        out.state.work = message.at("loads").get<loads>();
        out.state.draining = message.value("leaving", fleet::draining_targets{});
        if (message.contains("crashes"))
            out.state.crashes = read_crashes(message.at("crashes"), now);
        if (message.contains("request_crashes"))
            out.state.request_crashes = read_crashes(message.at("request_crashes"), now);
        out.state.limits = read_limits(message.value("limits", json::object()), now);
        out.state.sends = read_sends(message.value("sends", json::object()), now);
        if (message.contains("retries"))
            out.state.retries = read_retries(message.at("retries"), now);
        out.state.cold = read_cold(message.value("cold", json::object()), now);
        return out;
    }
    catch (const json::exception& e)
    {
        common::log(common::log_level::debug, "load_message_malformed", {{"reason", e.what()}});
    }
    return std::nullopt;
}

} // namespace kumquatgap::gateway
