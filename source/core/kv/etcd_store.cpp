#include "kv/etcd_store.hpp"

#include "common/text.hpp"

#include <nlohmann/json.hpp>

namespace kumquatgap::kv
{

using common::failure;
using common::result_code;
using nlohmann::json;

namespace
{

constexpr int ms_per_s = 1000;
constexpr int http_ok = 200;

std::string encode(std::string_view text)
{
    return common::base64_encode(text);
}

std::string decode(const json& field)
{
    std::string out;
    if (!field.is_string() || !common::base64_decode(field.get_ref<const std::string&>(), out))
        throw json::other_error::create(501, "bad base64", &field);
    return out;
}

/// The gateway writes 64-bit numbers as text and leaves out zeros.
std::int64_t number_at(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end())
        return 0;
    std::int64_t n = 0;
    if (it->is_number_integer())
        return it->get<std::int64_t>();
    if (!it->is_string() || !common::parse_number(it->get_ref<const std::string&>(), n))
        throw json::other_error::create(501, "bad number", &object);
    return n;
}

/// The key that ends the range of all keys with a prefix.
std::string prefix_end(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

key_value parse_key_value(const json& kv)
{
    return {decode(kv.at("key")), kv.contains("value") ? decode(kv["value"]) : "",
            number_at(kv, "mod_revision")};
}

range_answer parse_range(const json& body)
{
    range_answer out;
    out.as_of = number_at(body.at("header"), "revision");
    for (const auto& kv : body.value("kvs", json::array()))
        out.items.push_back(parse_key_value(kv));
    return out;
}

json request_for(const key_write& it)
{
    if (!it.value)
        return {{"request_delete_range", {{"key", encode(it.key)}}}};
    json put = {{"key", encode(it.key)}, {"value", encode(*it.value)}};
    if (it.lease != 0)
        put["lease"] = std::to_string(it.lease);
    return {{"request_put", std::move(put)}};
}

/// A transaction that either writes or reads the guarded keys as they are.
json request_for(const transaction& it)
{
    json compares = json::array();
    json reads = json::array();
    for (const auto& g : it.guards)
    {
        compares.push_back({{"key", encode(g.key)},
                            {"target", "MOD"},
                            {"result", "EQUAL"},
                            {"mod_revision", std::to_string(g.expected)}});
        reads.push_back({{"request_range", {{"key", encode(g.key)}}}});
    }
    json writes = json::array();
    for (const auto& w : it.writes)
        writes.push_back(request_for(w));
    return {{"request_txn",
             {{"compare", std::move(compares)},
              {"success", std::move(writes)},
              {"failure", std::move(reads)}}}};
}

write_answer parse_write(const json& txn, revision as_of)
{
    write_answer out;
    out.applied = txn.value("succeeded", false);
    out.as_of = as_of;
    if (out.applied)
        return out;
    for (const auto& it : txn.at("responses"))
    {
        const auto kvs = it.at("response_range").value("kvs", json::array());
        out.current.push_back(kvs.empty() ? std::nullopt : std::optional{parse_key_value(kvs[0])});
    }
    return out;
}

std::vector<change> parse_events(const json& events)
{
    std::vector<change> out;
    for (const auto& it : events)
    {
        auto kv = parse_key_value(it.at("kv"));
        const bool deleted = it.value("type", "PUT") == "DELETE";
        out.push_back({std::move(kv.key),
                       deleted ? std::nullopt : std::optional{std::move(kv.value)}, kv.modified});
    }
    return out;
}

/// Runs a parser; a malformed answer is a failure, never an exception.
template <class F>
auto parsed(F&& fn) -> common::result<decltype(fn())>
{
    try
    {
        return fn();
    }
    catch (const json::exception& e)
    {
        return failure{result_code::write_outcome_unknown, e.what()};
    }
}

} // namespace

etcd_store::etcd_store(io::event_loop& loop, io::http_client& client, etcd_options options)
    : m_loop{loop}, m_client{client}, m_options{std::move(options)}
{
}

etcd_store::~etcd_store() = default;

void etcd_store::call(call_kind kind, std::string path, const json& body, json_callback done)
{
    note(kind);
    const auto id = m_next_call++;
    const auto on_end =
        [this, id, done = std::move(done)](io::call_end how, const io::http_answer& answer)
    {
        // The handle is destroyed at the end of this block, after the last use of this closure.
        const auto handle = std::move(m_calls.extract(id).mapped());
        if (how == io::call_end::not_connected)
            return done(failure{result_code::store_unavailable, "no connection to the store"});
        if (how != io::call_end::complete)
            return done(failure{result_code::write_outcome_unknown, "the store's answer was lost"});
        auto value = json::parse(answer.body, nullptr, false);
        if (answer.status != http_ok || value.is_discarded())
        {
            const bool refused = answer.status >= 400 && answer.status < 500;
            return done(
                failure{refused ? result_code::not_found : result_code::write_outcome_unknown,
                        answer.body});
        }
        done(std::move(value));
    };
    m_calls[id] = m_client.send(
        m_options.address,
        {"POST", std::move(path), {}, {{"Content-Type", "application/json"}}, body.dump()},
        {{}, {}, on_end},
        {.connect_timeout = m_options.timeout,
         .silence_timeout = m_options.timeout,
         .whole_timeout = m_options.timeout * whole_over_silence,
         .most_body_bytes = most_answer_bytes});
}

void etcd_store::range(std::string prefix, callback<range_answer> done)
{
    const json body = {{"key", encode(prefix)}, {"range_end", encode(prefix_end(prefix))}};
    call(call_kind::range, "/v3/kv/range", body,
         [done = std::move(done)](common::result<json> answer)
         {
             if (!answer)
                 return done(answer.error());
             done(parsed([&] { return parse_range(answer.value()); }));
         });
}

void etcd_store::get(std::string key, callback<std::optional<key_value>> done)
{
    call(call_kind::read, "/v3/kv/range", {{"key", encode(key)}},
         [done = std::move(done)](common::result<json> answer)
         {
             if (!answer)
                 return done(answer.error());
             done(parsed(
                 [&]() -> std::optional<key_value>
                 {
                     auto found = parse_range(answer.value());
                     if (found.items.empty())
                         return std::nullopt;
                     return std::move(found.items.front());
                 }));
         });
}

void etcd_store::write(std::vector<transaction> batch, callback<std::vector<write_answer>> done)
{
    json transactions = json::array();
    for (const auto& it : batch)
        transactions.push_back(request_for(it));
    call(call_kind::write, "/v3/kv/txn", {{"success", std::move(transactions)}},
         [n = batch.size(), done = std::move(done)](common::result<json> answer)
         {
             if (!answer)
                 return done(answer.error());
             done(parsed(
                 [&]
                 {
                     const auto& body = answer.value();
                     const auto as_of = number_at(body.at("header"), "revision");
                     std::vector<write_answer> out;
                     for (std::size_t i = 0; i < n; ++i)
                         out.push_back(
                             parse_write(body.at("responses").at(i).at("response_txn"), as_of));
                     return out;
                 }));
         });
}

void etcd_store::grant_lease(common::milliseconds time_to_live, callback<lease_id> done)
{
    call(call_kind::grant_lease, "/v3/lease/grant",
         {{"TTL", std::to_string(time_to_live.count() / ms_per_s)}},
         [done = std::move(done)](common::result<json> answer)
         {
             if (!answer)
                 return done(answer.error());
             done(parsed([&]() -> lease_id { return number_at(answer.value(), "ID"); }));
         });
}

void etcd_store::renew_lease(lease_id lease, callback<common::milliseconds> done)
{
    call(call_kind::renew_lease, "/v3/lease/keepalive", {{"ID", std::to_string(lease)}},
         [done = std::move(done)](common::result<json> answer)
         {
             if (!answer)
                 return done(answer.error());
             auto left = parsed([&] { return number_at(answer.value().at("result"), "TTL"); });
             if (!left)
                 return done(left.error());
             if (left.value() <= 0)
                 return done(failure{result_code::not_found, "the lease has ended"});
             done(common::milliseconds{left.value() * ms_per_s});
         });
}

/// A watch as a call whose answer is a line of JSON for each report.
class etcd_store::etcd_watch : public watch
{
public:
    etcd_watch(etcd_store& owner, const std::string& prefix, revision from, watch_events events)
        : m_events{std::move(events)}
    {
        const json body = {{"create_request",
                            {{"key", encode(prefix)},
                             {"range_end", encode(prefix_end(prefix))},
                             {"start_revision", std::to_string(from)},
                             {"progress_notify", true}}}};
        m_call = owner.m_client.send(
            owner.m_options.address,
            {"POST", "/v3/watch", {}, {{"Content-Type", "application/json"}}, body.dump()},
            {{},
             [this](std::string_view data) { feed(data); },
             [this](io::call_end, const io::http_answer&) {
                 end({result_code::store_unavailable, "the watch was lost"});
             }},
            {.connect_timeout = owner.m_options.timeout,
             .silence_timeout = watch_silence,
             .reuse_connection = false});
    }

private:
    /// The service reports progress at least this often, changes or none.
    static constexpr common::milliseconds watch_silence{15 * 60 * 1000};

    void feed(std::string_view data)
    {
        m_rest += data;
        if (m_rest.size() > most_answer_bytes)
            return end({result_code::store_unavailable, "a watch report has no end"});
        for (auto n = m_rest.find('\n'); n != std::string::npos && m_call; n = m_rest.find('\n'))
        {
            const auto line = m_rest.substr(0, n);
            m_rest.erase(0, n + 1);
            take(line);
        }
    }

    void take(const std::string& line)
    {
        const auto body = json::parse(line, nullptr, false);
        if (body.is_discarded() || !body.contains("result"))
            return end({result_code::store_unavailable, "a malformed watch report"});
        const auto& report = body["result"];
        if (report.value("canceled", false))
        {
            const bool compacted = report.contains("compact_revision");
            return end({compacted ? result_code::compacted : result_code::store_unavailable,
                        "the service ended the watch"});
        }
        auto changes = parsed([&] { return parse_events(report.value("events", json::array())); });
        if (!changes)
            return end(changes.error());
        // The report that confirms the watch may be ahead of changes still to come, and so may the
        // header of a report with changes.
        if (report.value("created", false))
            return;
        const auto as_of = changes.value().empty()
                               ? number_at(report.value("header", json::object()), "revision")
                               : changes.value().back().modified;
        m_events.on_changes(as_of, std::move(changes.value()));
    }

    void end(failure why)
    {
        m_call.reset();
        const auto fn = std::exchange(m_events.on_end, nullptr);
        if (fn)
            fn(std::move(why));
    }

    watch_events m_events;
    std::string m_rest;
    io::call_handle m_call;
};

std::unique_ptr<watch> etcd_store::start_watch(std::string prefix, revision from,
                                               watch_events events)
{
    note(call_kind::watch);
    return std::make_unique<etcd_watch>(*this, prefix, from, std::move(events));
}

} // namespace kumquatgap::kv
