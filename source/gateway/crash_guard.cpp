#include "gateway/crash_guard.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"
#include "common/text.hpp"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace kumquatgap::gateway
{

using common::milliseconds;
using policy::part_verdict;

namespace
{

/// A host that drops packets gives no answer at all.
constexpr milliseconds probe_timeout{1000};
constexpr milliseconds rebroadcast_period{100};

/// The id of a target may be used again by its next start.
std::string key_of(const fleet::target& it)
{
    return common::concat(it.id, "@", it.started_at);
}

/// 128 bits, so that two requests do not meet by chance.
std::string digest_of(std::string_view text)
{
    return absl::StrFormat("%016x%016x", common::hash64(text, 0), common::hash64(text, 1));
}

} // namespace

crash_guard::crash_guard(kv::store& store, io::http_client& client, const protocol_adapter& adapter,
                         const fleet::evacuations& evacuated, std::string gateway)
    : m_client{client}, m_adapter{adapter}, m_evacuated{evacuated},
      m_parts{quarantine_kind::prompt_part, store, gateway}, m_requests{quarantine_kind::request,
                                                                        store, std::move(gateway)}
{
}

call_marks crash_guard::marks_of(std::string_view service, std::string_view caller,
                                 const io::http_request& request,
                                 const std::vector<std::string>& prompt_parts)
{
    call_marks out;
    for (std::size_t i = 0; i + 1 < prompt_parts.size(); ++i)
        out.parts.push_back(common::concat(service, "/", prompt_parts[i]));
    const auto text =
        common::concat(request.method, "\n", request.headers.find("host"), "\n", request.path, "\n",
                       request.query, "\n", caller, "\n", request.body);
    out.request = {common::concat(service, "/", digest_of(text))};
    return out;
}

void crash_guard::record_lost(const lost_call& it, timestamp now)
{
    const auto key = key_of(it.target);
    const auto [lost, is_new] =
        m_lost.try_emplace(key, lost_target{it.target, it.health_path, false});
    if (is_new)
        common::log(common::log_level::info, "target_lost",
                    {{"target", it.target.id},
                     {"started_at", it.target.started_at},
                     {"id", it.id},
                     {"has_head", it.has_head ? 1 : 0},
                     {"parts", absl::StrJoin(it.marks.parts, ",")},
                     {"request", absl::StrJoin(it.marks.request, ",")}});
    m_parts.attribution().record_lost(key, it.marks.parts, it.has_head, now,
                                      it.marks.request.front());
    // A request may have met a crash by accident, so it gets another attempt. In a group, whose
    // ranks all fail with the next crash, the one that was being answered does not.
    m_requests.attribution().record_lost(key, it.marks.request, it.is_group && it.has_head, now);
    lost->second.is_probe_due = lost->second.is_probe_due || it.has_head;
    if (it.has_head)
        probe(lost->second);
}

/// Probes the targets that could not be probed at once.
void crash_guard::probe_due()
{
    for (auto& [key, it] : m_lost)
    {
        if (it.is_probe_due && !it.is_probed)
            probe(it);
    }
}

/// The targets of crashes that are not confirmed yet, by their keys.
std::vector<std::string> crash_guard::unconfirmed() const
{
    auto out = m_parts.attribution().unconfirmed();
    const auto by_requests = m_requests.attribution().unconfirmed();
    out.insert(out.end(), by_requests.begin(), by_requests.end());
    return out;
}

void crash_guard::probe_unconfirmed()
{
    for (const auto& key : unconfirmed())
    {
        if (const auto it = m_lost.find(key); it != m_lost.end())
            probe(it->second);
    }
}

void crash_guard::probe(lost_target& it)
{
    if (it.is_probed || (m_may_probe && !m_may_probe(it.target)))
        return;
    it.is_probed = true;
    const auto key = key_of(it.target);
    if (m_evacuated.covers(it.target.data_centre))
    {
        common::log(common::log_level::info, "probe_omitted",
                    {{"target", key}, {"data_centre", it.target.data_centre}});
        // As for a target that does not answer: no call waits for the outcome of this crash.
        return m_requests.attribution().record_alive(key);
    }
    io::http_request request{"GET", it.health_path.empty() ? "/" : it.health_path, {}, {}, {}};
    request.headers =
        m_adapter.target_request_headers(request, {it.target.id, {}, probe_timeout, {}});
    request.headers.add("Host", it.target.address);
    m_probes[key].sent_at = common::now();
    m_probes[key].call = m_client.send(
        it.target.address, request,
        {.on_end = [this, key](io::call_outcome how, const io::http_response& response)
         { handle_probe(key, how, response); }},
        {.connect_timeout = probe_timeout,
         .total_timeout = probe_timeout,
         .reuse_connection = false});
}

void crash_guard::handle_probe(const std::string& key, io::call_outcome how,
                               const io::http_response& response)
{
    const auto head = m_adapter.read_response(response);
    const bool is_gone = how == io::call_outcome::not_connected || head.is_misdirected;
    common::log(common::log_level::info, "target_probed",
                {{"target", key},
                 {"end", io::name_of(how)},
                 {"status", response.status},
                 {"is_gone", is_gone ? 1 : 0}});
    if (is_gone)
        record_gone(key, common::now());
    else
        // A target that does not answer has not ended, so no call waits for it any longer.
        m_requests.attribution().record_alive(key);
    if (!is_gone && how == io::call_outcome::complete)
        m_parts.attribution().record_alive(key);
    const auto it = m_probes.find(key);
    if (it == m_probes.end())
        return;
    it->second.has_ended = true;
    const auto lost = m_lost.find(key);
    if (lost != m_lost.end() && m_on_probe_response && !is_gone)
        m_on_probe_response(lost->second.target, head, it->second.sent_at);
}

void crash_guard::record_gone(const fleet::target& it, timestamp now)
{
    record_gone(key_of(it), now);
}

void crash_guard::record_gone(const std::string& key, timestamp now)
{
    m_parts.attribution().record_gone(key, now);
    m_requests.attribution().record_gone(key, now);
}

void crash_guard::record_served(const call_marks& marks, milliseconds to_head,
                                milliseconds to_event, timestamp now)
{
    m_parts.attribution().record_served(marks.parts, to_head, to_event, now);
    m_requests.attribution().record_served(marks.request, to_head, to_event, now);
}

void crash_guard::merge(const broadcast_evidence& it, timestamp now)
{
    if (!it.parts.empty())
        m_parts.attribution().merge(it.parts, now);
    if (!it.requests.empty())
        m_requests.attribution().merge(it.requests, now);
}

part_verdict crash_guard::judge(const call_marks& marks) const
{
    return std::max(m_parts.attribution().judge(marks.parts),
                    m_requests.attribution().judge(marks.request));
}

bool crash_guard::is_own_turn(const call_marks& marks, std::size_t index, std::size_t gateways,
                              timestamp now) const
{
    const auto may_try =
        [&](const policy::crash_attribution& it, const std::vector<std::string>& items)
    { return it.judge(items) != part_verdict::suspect || it.is_own_turn(index, gateways, now); };
    return may_try(m_parts.attribution(), marks.parts) &&
           may_try(m_requests.attribution(), marks.request);
}

void crash_guard::record_sent(const call_marks& marks, timestamp now)
{
    if (m_parts.attribution().judge(marks.parts) == part_verdict::suspect)
        m_parts.attribution().record_trial(now);
    if (m_requests.attribution().judge(marks.request) == part_verdict::suspect)
        m_requests.attribution().record_trial(now);
}

common::failure crash_guard::refusal(const call_marks& marks, timestamp now) const
{
    using common::result_code;
    const auto parts_left = m_parts.attribution().quarantine_left(marks.parts, now);
    const auto request_left = m_requests.attribution().quarantine_left(marks.request, now);
    const auto code = request_left > parts_left ? result_code::request_quarantined
                                                : result_code::prompt_quarantined;
    return {code, "", std::max(parts_left, request_left)};
}

/// Confirms the crashes of targets that another start has replaced or whose entry has ended.
void crash_guard::confirm_replaced(const fleet::target_table& targets, timestamp now)
{
    const auto open = unconfirmed();
    std::erase_if(m_lost,
                  [&](const auto& it) { return std::ranges::find(open, it.first) == open.end(); });
    for (const auto& [key, it] : m_lost)
    {
        if (!targets.is_registered(it.target.id, it.target.started_at, now))
            record_gone(key, now);
    }
}

broadcast_evidence crash_guard::to_broadcast(timestamp now)
{
    const auto version =
        m_parts.attribution().evidence_version() + m_requests.attribution().evidence_version();
    if (version == m_broadcast_version && now - m_broadcast_at < rebroadcast_period)
        return {};
    m_broadcast_version = version;
    m_broadcast_at = now;
    return {m_parts.attribution().to_broadcast(now), m_requests.attribution().to_broadcast(now)};
}

void crash_guard::tick(const fleet::target_table& targets, timestamp now, double draw,
                       milliseconds broadcast_interval)
{
    std::erase_if(m_probes, [](const auto& it) { return it.second.has_ended; });
    confirm_replaced(targets, now);
    probe_due();
    // Calls are held until it is known whether their targets are gone.
    if (m_requests.attribution().suspect_count() > 0)
        probe_unconfirmed();
    m_parts.tick(now, draw, broadcast_interval);
    m_requests.tick(now, draw, broadcast_interval);
}

void crash_guard::handle_entry(quarantine_kind kind, const std::string& item, entry_change what,
                               timestamp now)
{
    auto& it = kind == quarantine_kind::prompt_part ? m_parts : m_requests;
    it.handle_entry(item, what, now);
}

void crash_guard::write_metrics(common::metrics& m) const
{
    m_parts.write_metrics(m);
    m_requests.write_metrics(m);
}

} // namespace kumquatgap::gateway
