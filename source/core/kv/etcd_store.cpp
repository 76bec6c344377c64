#include "kv/etcd_store.hpp"

#include "common/text.hpp"
#include "kv/etcd_era.hpp"

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

/// Reads an integer field. etcd's JSON gateway writes 64-bit numbers as strings and omits zeros.
std::int64_t read_integer(const json& object, const char* name)
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

/// The exclusive end of the range of all keys with a prefix.
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
            read_integer(kv, "mod_revision")};
}

/// The id of the cluster that sent a response; empty when it names none.
std::string cluster_of(const json& body)
{
    const auto& holder = body.contains("result") ? body["result"] : body;
    return holder.value("header", json::object()).value("cluster_id", "");
}

range_response parse_range(const json& body)
{
    range_response out;
    out.as_of = read_integer(body.at("header"), "revision");
    for (const auto& kv : body.value("kvs", json::array()))
        out.items.push_back(parse_key_value(kv));
    return out;
}

json to_request(const key_write& it)
{
    if (!it.value)
        return {{"request_delete_range", {{"key", encode(it.key)}}}};
    json put = {{"key", encode(it.key)}, {"value", encode(*it.value)}};
    if (it.lease)
        put["lease"] = std::to_string(it.lease.id);
    return {{"request_put", std::move(put)}};
}

/// A transaction that writes when all guards hold, and otherwise reads the guarded keys.
json to_request(const transaction& it)
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
        writes.push_back(to_request(w));
    return {{"request_txn",
             {{"compare", std::move(compares)},
              {"success", std::move(writes)},
              {"failure", std::move(reads)}}}};
}

write_response parse_write(const json& txn, revision as_of)
{
    write_response out;
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
                       deleted ? std::nullopt : std::optional{std::move(kv.value)},
                       kv.mod_revision});
    }
    return out;
}

/// Runs a parser and turns its exception for a malformed response into a failure.
template <class F>
auto parse_or_fail(F&& fn) -> common::result<decltype(fn())>
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

/// A response whose cluster is not known yet.
struct etcd_store::waiting_response
{
    json body;
    json_callback done;
};

etcd_store::etcd_store(io::event_loop& loop, io::http_client& client, etcd_options options)
    : m_loop{loop}, m_client{client}, m_options{std::move(options)}
{
}

etcd_store::~etcd_store() = default;

void etcd_store::call(call_kind kind, std::string path, const json& body, json_callback done)
{
    send(kind, std::move(path), body,
         [this, done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             deliver(std::move(response.value()), done);
         });
}

void etcd_store::deliver(json body, const json_callback& done)
{
    if (cluster_of(body) == m_cluster)
    {
        note_era(current_era());
        return done(std::move(body));
    }
    m_waiting.push_back({std::move(body), done});
    if (m_waiting.size() == 1)
        read_era_record();
}

void etcd_store::read_era_record()
{
    send(call_kind::read, "/v3/kv/range", {{"key", encode(etcd_era_key)}},
         [this](common::result<json> response)
         {
             if (!response)
                 return fail_waiting(response.error());
             const auto found = parse_or_fail([&] { return parse_range(response.value()); });
             if (!found)
                 return fail_waiting(found.error());
             const auto& items = found.value().items;
             write_era_record(cluster_of(response.value()),
                              items.empty() ? std::nullopt : std::optional{items.front()});
         });
}

void etcd_store::write_era_record(const std::string& cluster,
                                  const std::optional<key_value>& stored)
{
    const auto record = stored ? parse_era_record(stored->value) : std::nullopt;
    const auto required =
        required_record(record, cluster, cluster == m_cluster ? 0 : current_era());
    if (record == required)
        return adopt_cluster(cluster, required.number);
    const transaction it{{{std::string{etcd_era_key}, stored ? stored->mod_revision : 0}},
                         {{std::string{etcd_era_key}, serialize(required)}}};
    send(call_kind::write, "/v3/kv/txn", to_request(it).at("request_txn"),
         [this, cluster, required](common::result<json> response)
         {
             if (!response)
                 return fail_waiting(response.error());
             // Another process has recorded the era, or the cluster has changed again.
             const bool is_written = response.value().value("succeeded", false) &&
                                     cluster_of(response.value()) == cluster;
             if (!is_written)
                 return read_era_record();
             adopt_cluster(cluster, required.number);
         });
}

void etcd_store::adopt_cluster(const std::string& cluster, era number)
{
    m_cluster = cluster;
    note_era(number);
    for (auto& it : std::exchange(m_waiting, {}))
    {
        if (cluster_of(it.body) == cluster)
            it.done(std::move(it.body));
        else
            it.done(failure{result_code::write_outcome_unknown,
                            "the store was restored after this answer"});
    }
}

void etcd_store::fail_waiting(const failure& why)
{
    // The answers have arrived but can't be placed, so what they say of writes is not known either.
    for (auto& it : std::exchange(m_waiting, {}))
        it.done(failure{result_code::write_outcome_unknown, why.detail});
}

void etcd_store::send(call_kind kind, std::string path, const json& body, json_callback done)
{
    count_call(kind);
    const auto id = m_next_call++;
    const auto on_end = [this, id, done = std::move(done)](io::call_outcome end_reason,
                                                           const io::http_response& response)
    {
        // The handle is destroyed at the end of this block, after the last use of this closure.
        const auto handle = std::move(m_calls.extract(id).mapped());
        if (end_reason == io::call_outcome::not_connected)
            return done(failure{result_code::store_unavailable, "no connection to the store"});
        if (end_reason != io::call_outcome::complete)
            return done(failure{result_code::write_outcome_unknown, "the store's answer was lost"});
        auto value = json::parse(response.body, nullptr, false);
        if (response.status != http_ok || value.is_discarded())
        {
            const bool refused = response.status >= 400 && response.status < 500;
            return done(
                failure{refused ? result_code::not_found : result_code::write_outcome_unknown,
                        response.body});
        }
        done(std::move(value));
    };
    m_calls[id] = m_client.send(
        m_options.address,
        {"POST", std::move(path), {}, {{"Content-Type", "application/json"}}, body.dump()},
        {{}, {}, on_end},
        {.connect_timeout = m_options.timeout,
         .silence_timeout = m_options.timeout,
         .total_timeout = m_options.timeout * total_timeout_factor,
         .max_collected_bytes = max_response_bytes});
}

void etcd_store::range(std::string prefix, callback<range_response> done)
{
    const json body = {{"key", encode(prefix)}, {"range_end", encode(prefix_end(prefix))}};
    call(call_kind::range, "/v3/kv/range", body,
         [this, done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             auto out = parse_or_fail([&] { return parse_range(response.value()); });
             if (out)
                 out.value().in_era = current_era();
             done(std::move(out));
         });
}

void etcd_store::get(std::string key, callback<std::optional<key_value>> done)
{
    call(call_kind::read, "/v3/kv/range", {{"key", encode(key)}},
         [done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             done(parse_or_fail(
                 [&]() -> std::optional<key_value>
                 {
                     auto found = parse_range(response.value());
                     if (found.items.empty())
                         return std::nullopt;
                     return std::move(found.items.front());
                 }));
         });
}

void etcd_store::write(std::vector<transaction> batch, callback<std::vector<write_response>> done)
{
    const auto of_former_era = [this](const transaction& it)
    { return reason_not_to_send(it).has_value(); };
    if (const auto it = std::ranges::find_if(batch, of_former_era); it != batch.end())
        return done(*reason_not_to_send(*it));
    json transactions = json::array();
    for (const auto& it : batch)
        transactions.push_back(to_request(it));
    call(call_kind::write, "/v3/kv/txn", {{"success", std::move(transactions)}},
         [this, n = batch.size(), sent_in = current_era(),
          done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             // The guards may have met other changes of the same revisions.
             if (sent_in != current_era() && sent_in != 0)
                 return done(failure{result_code::write_outcome_unknown,
                                     "the store was restored meanwhile"});
             done(parse_or_fail(
                 [&]
                 {
                     const auto& body = response.value();
                     const auto as_of = read_integer(body.at("header"), "revision");
                     std::vector<write_response> out;
                     for (std::size_t i = 0; i < n; ++i)
                     {
                         out.push_back(
                             parse_write(body.at("responses").at(i).at("response_txn"), as_of));
                         out.back().in_era = current_era();
                     }
                     return out;
                 }));
         });
}

void etcd_store::grant_lease(common::milliseconds time_to_live, callback<lease> done)
{
    call(call_kind::grant_lease, "/v3/lease/grant",
         {{"TTL", std::to_string(time_to_live.count() / ms_per_s)}},
         [this, done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             done(parse_or_fail(
                 [&] {
                     return lease{read_integer(response.value(), "ID"), current_era()};
                 }));
         });
}

void etcd_store::renew_lease(lease it, callback<common::milliseconds> done)
{
    if (it.granted_in != current_era())
        return done(failure{result_code::not_found, "the lease ended as the store was restored"});
    call(call_kind::renew_lease, "/v3/lease/keepalive", {{"ID", std::to_string(it.id)}},
         [this, it, done = std::move(done)](common::result<json> response)
         {
             if (!response)
                 return done(response.error());
             auto seconds_left =
                 parse_or_fail([&] { return read_integer(response.value().at("result"), "TTL"); });
             if (!seconds_left)
                 return done(seconds_left.error());
             if (seconds_left.value() <= 0 || it.granted_in != current_era())
                 return done(failure{result_code::not_found, "the lease has ended"});
             done(common::milliseconds{seconds_left.value() * ms_per_s});
         });
}

/// A watch as a streaming call whose response has one line of JSON for each event batch.
class etcd_store::etcd_watch : public watch
{
public:
    etcd_watch(etcd_store& owner, const std::string& prefix, revision from, watch_events events)
        : m_events{std::move(events)}, m_cluster{owner.m_cluster}, m_from{from}
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
             [this](std::string_view data) { handle_data(data); },
             [this](io::call_outcome, const io::http_response&) {
                 end({result_code::store_unavailable, "the watch was lost"});
             }},
            {.connect_timeout = owner.m_options.timeout,
             .silence_timeout = watch_silence,
             .reuse_connection = false});
    }

private:
    /// etcd sends a progress notification at least this often, also without changes.
    static constexpr common::milliseconds watch_silence{15 * 60 * 1000};

    void handle_data(std::string_view data)
    {
        m_buffer += data;
        if (m_buffer.size() > max_response_bytes)
            return end({result_code::store_unavailable, "a watch report has no end"});
        for (auto n = m_buffer.find('\n'); n != std::string::npos && m_call;
             n = m_buffer.find('\n'))
        {
            const auto line = m_buffer.substr(0, n);
            m_buffer.erase(0, n + 1);
            handle_line(line);
        }
    }

    void handle_line(const std::string& line)
    {
        const auto body = json::parse(line, nullptr, false);
        if (body.is_discarded() || !body.contains("result"))
            return end({result_code::store_unavailable, "a malformed watch report"});
        const auto& report = body["result"];
        if (cluster_of(body) != m_cluster)
            return end({result_code::compacted, "the store was restored"});
        if (report.value("canceled", false))
        {
            const bool compacted = report.contains("compact_revision");
            return end({compacted ? result_code::compacted : result_code::store_unavailable,
                        "the service ended the watch"});
        }
        auto changes =
            parse_or_fail([&] { return parse_events(report.value("events", json::array())); });
        if (!changes)
            return end(changes.error());
        // The revision in the header of the message that confirms the watch, or of one with
        // changes, may be higher than that of changes still to come.
        if (report.value("created", false))
        {
            // etcd would wait until a restored store has reached the revision again.
            if (m_from > read_integer(report.value("header", json::object()), "revision") + 1)
                end({result_code::compacted, "the store does not have this revision"});
            return;
        }
        const auto as_of = changes.value().empty()
                               ? read_integer(report.value("header", json::object()), "revision")
                               : changes.value().back().mod_revision;
        m_events.on_changes(as_of, std::move(changes.value()), common::now());
    }

    void end(failure why)
    {
        m_call.reset();
        const auto fn = std::exchange(m_events.on_end, nullptr);
        if (fn)
            fn(std::move(why));
    }

    watch_events m_events;
    std::string m_cluster;
    revision m_from;
    std::string m_buffer;
    io::call_handle m_call;
};

std::unique_ptr<watch> etcd_store::start_watch(std::string prefix, position from,
                                               watch_events events)
{
    count_call(call_kind::watch);
    // A watch from before a restore ends with its first message, whose cluster is another one.
    return std::make_unique<etcd_watch>(*this, prefix, from.at, std::move(events));
}

} // namespace kumquatgap::kv
