#include "api/api.hpp"

#include "common/text.hpp"

#include "common/log.hpp"
#include "common/trace.hpp"

#include <csignal>

namespace kumquatgap::api
{

using common::failure;
using common::milliseconds;
using common::result_code;
using config::kind;
using nlohmann::json;

namespace
{

constexpr int http_ok = 200;
constexpr milliseconds idle_check_period{20};
constexpr std::string_view json_type = "application/json";
constexpr std::string_view resource_path = "/v1/";
constexpr std::string_view status_path = "/v1/status";

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

void reply(const io::responder_ptr& answer, const json& value)
{
    answer->reply({http_ok, {{"Content-Type", std::string{json_type}}}, dump(value)});
}

void refuse(const io::responder_ptr& answer, const failure& why)
{
    answer->reply(shell::to_answer(why));
}

failure unavailable(const failure& why)
{
    constexpr milliseconds retry_after{1000};
    return {result_code::store_unavailable, why.detail, retry_after};
}

/// The kind and name in a resource's path; the name is empty for the path of a kind.
struct resource_id
{
    std::optional<kind> type;
    std::string name;
};

resource_id parse_path(std::string_view path)
{
    if (!path.starts_with(resource_path))
        return {};
    path.remove_prefix(resource_path.size());
    const auto slash = std::min(path.find('/'), path.size());
    const auto name = path.substr(std::min(slash + 1, path.size()));
    return {config::find_kind(path.substr(0, slash)), std::string{name}};
}

/// A change of a watched kind as one line.
std::string to_line(kind k, const kv::change& it)
{
    const auto prefix = config::key_of(k, "");
    if (!it.key.starts_with(prefix))
        return {};
    if (!it.value)
        return dump({{"type", "DELETED"},
                     {"object",
                      {{"kind", config::name_of(k)},
                       {"name", it.key.substr(prefix.size())},
                       {"resourceVersion", std::to_string(it.mod_revision)}}}});
    const auto r = config::deserialize({it.key, *it.value, it.mod_revision});
    return r ? dump({{"type", "MODIFIED"}, {"object", config::to_json(*r)}}) : std::string{};
}

} // namespace

void add_settings(common::settings_schema& schema, api_settings& s)
{
    shell::add_common_settings(schema, s.common);
    schema.add("api", "listen", common::address_setting{&s.listen});
    schema.add("api", "operator_token", common::text_setting{&s.operator_token});
    schema.add("api", "reader_token", common::text_setting{&s.reader_token});
}

api::api(const api_settings& settings)
    : m_settings{settings}, m_client{m_loop}, m_store{m_loop,
                                                      m_client,
                                                      {m_settings.common.store_address,
                                                       m_settings.common.store_timeout}},
      m_server{m_loop,
               {},
               [this](const io::received_request& received, const io::responder_ptr& answer)
               { handle(received, answer); }}
{
}

int api::run()
{
    m_server.set_malformed_answer(shell::to_answer({result_code::bad_request, ""}));
    if (!m_server.listen(m_settings.listen))
    {
        common::log(common::log_level::error, "no_address", {{"address", m_settings.listen}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    common::log(common::log_level::info, "started", {{"address", m_settings.listen}});
    m_loop.run();
    common::log(common::log_level::info, "stopped");
    return 0;
}

std::optional<failure> api::refusal(const io::received_request& received) const
{
    if (received.headers_too_large)
        return failure{result_code::headers_too_large, ""};
    if (received.body_too_large)
        return failure{result_code::body_too_large, ""};
    const bool reads = received.request.method == "GET";
    const bool may_write = shell::has_token(received.request, m_settings.operator_token);
    const bool may_read = may_write || shell::has_token(received.request, m_settings.reader_token);
    if (!may_read || (!reads && !may_write))
        return failure{result_code::not_permitted, ""};
    return std::nullopt;
}

void api::handle(const io::received_request& received, const io::responder_ptr& answer)
{
    const auto& request = received.request;
    if (shell::answer_admin_request(request, *answer, !m_shutting_down, m_metrics))
        return;
    if (const auto refused = refusal(received))
        return refuse(answer, *refused);
    if (request.method == "GET" && request.path == status_path)
        return status(answer);
    const auto id = parse_path(request.path);
    if (!id.type)
        return refuse(answer, {result_code::unknown_kind, ""});
    if (request.method == "GET" && io::query_parameter(request.query, "watch") == "true")
        return watch(*id.type, io::query_parameter(request.query, "resourceVersion"), answer);
    if (request.method == "GET")
        return read(*id.type, id.name, answer);
    if (request.method == "PUT")
        return write(*id.type, id.name, request.body, answer);
    if (request.method == "DELETE")
        return erase(*id.type, id.name, io::query_parameter(request.query, "resourceVersion"),
                     answer);
    refuse(answer, {result_code::method_not_allowed, ""});
}

void api::read(kind k, const std::string& name, const io::responder_ptr& answer)
{
    const auto prefix = config::key_of(k, name);
    m_store.range(prefix,
                  [name, prefix, answer](const auto& found)
                  {
                      if (!found)
                          return refuse(answer, {result_code::store_unavailable,
                                                 found.error().detail, milliseconds{1000}});
                      json items = json::array();
                      for (const auto& it : found.value().items)
                      {
                          const auto r = config::deserialize(it);
                          if (r && (name.empty() || r->name == name))
                              items.push_back(config::to_json(*r));
                      }
                      if (name.empty())
                          return reply(answer,
                                       {{"resourceVersion", std::to_string(found.value().as_of)},
                                        {"items", std::move(items)}});
                      if (items.empty())
                          return refuse(answer, {result_code::not_found, ""});
                      reply(answer, items[0]);
                  });
}

/// Tells the newest accepted revision and what each data centre has in force.
void api::status(const io::responder_ptr& answer)
{
    const auto with_head = [this, answer](const auto& head)
    {
        if (!head)
            return refuse(answer, unavailable(head.error()));
        const auto accepted = head.value() ? head.value()->mod_revision : 0;
        m_store.range(std::string{config::status_prefix},
                      [answer, accepted](const auto& found)
                      {
                          if (!found)
                              return refuse(answer, unavailable(found.error()));
                          json centres = json::object();
                          for (const auto& it : found.value().items)
                              centres[it.key.substr(config::status_prefix.size())] =
                                  json::parse(it.value, nullptr, false);
                          reply(answer, {{"accepted_revision", std::to_string(accepted)},
                                         {"data_centres", std::move(centres)}});
                      });
    };
    m_store.get(std::string{config::head_key}, with_head);
}

void api::write(kind k, const std::string& name, const std::string& body,
                const io::responder_ptr& answer)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return refuse(answer, {result_code::bad_json, ""});
    auto r = config::from_json(k, name, value);
    if (!r)
        return refuse(answer, r.error());
    r.value().writer = common::random_id() + common::random_id();
    const auto work =
        std::make_shared<config::resource_write>(config::resource_write::put(std::move(r.value())));
    carry_out(work, work->begin(common::now()), answer);
}

void api::erase(kind k, const std::string& name, const std::string& version,
                const io::responder_ptr& answer)
{
    kv::revision expected = 0;
    if (!common::parse_number(version, expected))
        return refuse(answer, {result_code::bad_field, "resourceVersion must be a number"});
    const auto work =
        std::make_shared<config::resource_write>(config::resource_write::erase(k, name, expected));
    carry_out(work, work->begin(common::now()), answer);
}

void api::carry_out(const std::shared_ptr<config::resource_write>& work,
                    const config::write_step& step, const io::responder_ptr& answer)
{
    if (const auto* accepted = std::get_if<config::write_accepted>(&step))
    {
        m_metrics.count("kqg_writes_accepted_total");
        return reply(answer, {{"resourceVersion", std::to_string(accepted->version)}});
    }
    if (const auto* refused = std::get_if<config::write_refused>(&step))
    {
        m_metrics.count("kqg_writes_refused_total");
        return refuse(answer, refused->why);
    }
    if (std::holds_alternative<config::read_resources>(step))
    {
        m_store.range(std::string{config::replicated_prefix},
                      [this, work, answer](const auto& found)
                      { carry_out(work, work->read_finished(found, common::now()), answer); });
        return;
    }
    const auto& write = std::get<config::write_transaction>(step);
    const auto send = [this, work, answer, transaction = write.transaction]
    {
        m_store.write({transaction},
                      [this, work, answer](const auto& done)
                      {
                          const auto first =
                              done ? common::result<kv::write_response>{done.value().at(0)}
                                   : common::result<kv::write_response>{done.error()};
                          carry_out(work, work->written(first, common::now()), answer);
                      });
    };
    if (write.pause.count() == 0)
        return send();
    // The timer owns itself through the closure that it runs.
    auto handle = std::make_shared<io::timer_handle>();
    *handle = m_loop.after(write.pause,
                           [handle, send]
                           {
                               handle->reset();
                               send();
                           });
}

void api::watch(kind k, const std::string& from, const io::responder_ptr& answer)
{
    kv::revision version = 0;
    if (!common::parse_number(from, version) || version < 0)
        return refuse(answer, {result_code::bad_field, "resourceVersion must be a number"});
    answer->start_stream(http_ok, {{"Content-Type", std::string{json_type}}});
    const auto it = m_watches.insert(m_watches.end(), {answer, nullptr});
    const auto drop = [this, it] { m_loop.defer([this, it] { m_watches.erase(it); }); };
    it->source = m_store.start_watch(
        config::key_of(k, ""), version + 1,
        {[k, answer](auto, const auto& changes)
         {
             for (const auto& change : changes)
                 answer->write(to_line(k, change));
         },
         [answer, drop](const failure& why)
         {
             answer->write(dump({{"type", "ERROR"},
                                 {"object", json::parse(shell::to_answer(why).body)["error"]}}));
             answer->on_caller_gone(nullptr);
             answer->end();
             drop();
         }});
    answer->on_caller_gone(drop);
}

void api::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    m_server.stop_listening();
    for (const auto& it : m_watches)
    {
        it.answer->on_caller_gone(nullptr);
        it.answer->end();
    }
    m_watches.clear();
    m_idle_timer = m_loop.every(idle_check_period,
                                [this]
                                {
                                    if (!m_server.is_busy())
                                        m_loop.stop();
                                });
}

} // namespace kumquatgap::api
