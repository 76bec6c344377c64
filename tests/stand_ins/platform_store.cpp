#include "platform_store.hpp"

#include "common/text.hpp"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

constexpr common::milliseconds lease_check_period{50};

std::int64_t number_in(const std::string& query, const char* name)
{
    std::int64_t n = 0;
    const auto text = io::query_parameter(query, name);
    return common::parse_number(std::string_view{text}, n) ? n : 0;
}

} // namespace

platform_store::platform_store(io::event_loop& loop, const std::string& address)
    : m_loop{loop}, m_address{address}, m_server{loop,
                                                 {},
                                                 [this](const io::received_request& received,
                                                        const io::responder_ptr& answer)
                                                 { handle(received.request, answer); }}
{
    if (!m_server.listen(address))
        throw std::runtime_error{"the store's address is taken"};
    m_lease_timer = m_loop.every(lease_check_period, [this] { end_leases(); });
}

void platform_store::keep_lease(std::int64_t id, io::responder& answer)
{
    const auto it = m_state.leases.find(id);
    if (it == m_state.leases.end())
        return reply(answer, 404);
    it->second.ends_at = common::now() + it->second.time_to_live;
    reply(answer, 200, {{"ttlMs", it->second.time_to_live.count()}});
}

/// Deletes the keys of leases that have ended.
void platform_store::end_leases()
{
    std::vector<std::string> ended;
    const auto now = common::now();
    std::erase_if(m_state.leases, [&](const auto& it) { return it.second.ends_at <= now; });
    for (const auto& [key, it] : m_state.items)
    {
        if (it.lease != 0 && !m_state.leases.contains(it.lease))
            ended.push_back(key);
    }
    for (const auto& key : ended)
        remove(key);
}

void platform_store::put(const std::string& key, const std::string& value)
{
    write(key, value, 0);
}

void platform_store::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    ++m_state.revision;
    auto& it = m_state.items[key];
    const auto created = it.created == 0 ? m_state.revision : it.created;
    it = {value, m_state.revision, created, lease};
    note({key, it, false});
}

void platform_store::remove(const std::string& key)
{
    if (m_state.items.erase(key) == 0)
        return;
    ++m_state.revision;
    note({key, {{}, m_state.revision, 0, 0}, true});
}

void platform_store::note(event e)
{
    m_state.history.push_back(std::move(e));
    std::erase_if(m_watches, [this](const auto& it) { return answer_watch(it, false); });
}

void platform_store::set_mood(store_mood mood)
{
    m_mood = mood;
    if (mood != store_mood::refuses)
        return;
    for (auto& it : m_watches)
        reply(*it.answer, 503);
    m_watches.clear();
}

void platform_store::reply(io::responder& answer, int status, const json& body) const
{
    answer.reply({status,
                  {{"Content-Type", "application/json"}, {"Store-Era", common::concat(m_era)}},
                  body.dump()});
}

void platform_store::restore(bool cuts_watches)
{
    m_state = m_copy;
    ++m_era;
    if (!cuts_watches)
        return;
    for (auto& it : m_watches)
        reply(*it.answer, 410);
    m_watches.clear();
}

void platform_store::compact()
{
    m_state.history.clear();
    m_oldest = m_state.revision;
    for (auto& it : m_watches)
        reply(*it.answer, 410);
    m_watches.clear();
}

void platform_store::handle(const io::http_request& request, const io::responder_ptr& answer)
{
    ++m_calls;
    if (m_mood == store_mood::silent)
        return;
    if (m_mood == store_mood::refuses)
        return reply(*answer, 503);
    const auto to_json = [](const std::string& key, const item& it)
    {
        return json{{"key", key},
                    {"value", common::base64_encode(it.value)},
                    {"revision", it.revision},
                    {"created", it.created},
                    {"lease", it.lease}};
    };
    if (request.path == "/-/kv-key")
    {
        const auto key = io::query_parameter(request.query, "key");
        const bool takes_old = io::query_parameter(request.query, "serializable") == "1";
        const auto& items = takes_old && m_old_items ? *m_old_items : m_state.items;
        const auto it = items.find(key);
        return it == items.end() ? reply(*answer, 404)
                                 : reply(*answer, 200, to_json(key, it->second));
    }
    if (request.path == "/-/kv-range")
    {
        const auto prefix = io::query_parameter(request.query, "prefix");
        json items = json::array();
        for (const auto& [key, it] : m_state.items)
        {
            if (key.starts_with(prefix))
                items.push_back(to_json(key, it));
        }
        return reply(*answer, 200,
                     {{"items", items}, {"hasMore", false}, {"asOf", m_state.revision}});
    }
    if (request.path == "/-/kv-watch")
        return watch(request, answer);
    if (request.path == "/-/kv-txn")
        return transact(request, *answer);
    if (request.path == "/-/kv-lease")
    {
        const common::milliseconds ttl{json::parse(request.body).at("ttlMs")};
        m_state.leases[++m_state.last_lease] = {ttl, common::now() + ttl};
        return reply(*answer, 200, {{"lease", m_state.last_lease}, {"ttlMs", ttl.count()}});
    }
    constexpr std::string_view keep = "/-/kv-keep/";
    if (request.path.starts_with(keep))
    {
        std::int64_t id = 0;
        common::parse_number(std::string_view{request.path}.substr(keep.size()), id);
        return keep_lease(id, *answer);
    }
    reply(*answer, 404);
}

void platform_store::watch(const io::http_request& request, const io::responder_ptr& answer)
{
    waiting_watch it{io::query_parameter(request.query, "prefix"),
                     number_in(request.query, "after"), answer, nullptr};
    if (it.after < m_oldest || it.after > m_state.revision)
        return reply(*answer, 410);
    if (answer_watch(it, false))
        return;
    m_watches.push_back(std::move(it));
    const auto at = std::prev(m_watches.end());
    const common::milliseconds wait{number_in(request.query, "waitMs")};
    at->timer =
        m_loop.after(wait,
                     [this, raw = answer.get()]
                     {
                         std::erase_if(m_watches, [&](const auto& w)
                                       { return w.answer.get() == raw && answer_watch(w, true); });
                     });
}

bool platform_store::answer_watch(const waiting_watch& it, bool is_last_chance) const
{
    json events = json::array();
    for (const auto& e : m_state.history)
    {
        if (e.now.revision <= it.after || !e.key.starts_with(it.prefix))
            continue;
        json out = {{"key", e.key}, {"revision", e.now.revision}};
        if (e.deleted)
            out["deleted"] = true;
        else
            out["value"] = common::base64_encode(e.now.value);
        events.push_back(std::move(out));
    }
    if (events.empty() && !is_last_chance)
        return false;
    reply(*it.answer, 200, {{"events", events}, {"asOf", m_state.revision}});
    return true;
}

void platform_store::transact(const io::http_request& request, io::responder& answer)
{
    const auto body = json::parse(request.body);
    for (const auto& it : body.at("expected"))
    {
        const auto found = m_state.items.find(it.at("key").get<std::string>());
        const std::int64_t now = found == m_state.items.end() ? 0 : found->second.revision;
        if (now != it.at("revision"))
            return reply(answer, 412, {{"items", json::array()}});
    }
    for (const auto& it : body.at("writes"))
    {
        std::string value;
        common::base64_decode(it.at("value").get<std::string>(), value);
        write(it.at("key"), value, it.at("lease"));
    }
    for (const auto& key : body.at("remove"))
        remove(key);
    reply(answer, 200, {{"revision", m_state.revision}});
}

} // namespace kumquatgap::stand_ins
