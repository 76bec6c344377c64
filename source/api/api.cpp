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

void reply(const io::responder_ptr& responder, const json& value)
{
    responder->reply({http_ok, {{"Content-Type", std::string{json_type}}}, dump(value)});
}

void refuse(const io::responder_ptr& responder, const failure& error)
{
    responder->reply(shell::to_response(error));
}

failure unavailable(const failure& error)
{
    constexpr milliseconds retry_after{1000};
    return {result_code::store_unavailable, error.detail, retry_after};
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

/// A change of a watched resource as one line of JSON; empty for other kinds and malformed values.
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
               [this](const io::received_request& received, const io::responder_ptr& responder)
               { handle(received, responder); }}
{
}

int api::run()
{
    shell::set_host_limits(m_loop, m_settings.common);
    m_server.set_malformed_response(shell::to_response({result_code::bad_request, ""}));
    m_server.set_memory_full_response(shell::to_response(shell::memory_full_failure()));
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
    const bool is_read = received.request.method == "GET";
    const bool may_write = shell::has_token(received.request, m_settings.operator_token);
    const bool may_read = may_write || shell::has_token(received.request, m_settings.reader_token);
    if (!may_read || (!is_read && !may_write))
        return failure{result_code::not_permitted, ""};
    return std::nullopt;
}

void api::handle(const io::received_request& received, const io::responder_ptr& responder)
{
    const auto& request = received.request;
    m_loop.memory().write_metrics(m_metrics);
    if (shell::answer_admin_request(request, *responder, !m_shutting_down, m_metrics))
        return;
    if (const auto refused = refusal(received))
        return refuse(responder, *refused);
    if (request.method == "GET" && request.path == status_path)
        return status(responder);
    const auto id = parse_path(request.path);
    if (!id.type)
        return refuse(responder, {result_code::unknown_kind, ""});
    if (request.method == "GET" && io::query_parameter(request.query, "watch") == "true")
        return watch(*id.type, io::query_parameter(request.query, "resourceVersion"), responder);
    if (request.method == "GET")
        return read(*id.type, id.name, responder);
    if (request.method == "PUT")
        return write(*id.type, id.name, request.body, responder);
    if (request.method == "DELETE")
        return erase(*id.type, id.name, io::query_parameter(request.query, "resourceVersion"),
                     responder);
    refuse(responder, {result_code::method_not_allowed, ""});
}

void api::read(kind k, const std::string& name, const io::responder_ptr& responder)
{
    const auto prefix = config::key_of(k, name);
    m_store.range(prefix,
                  [name, prefix, responder](const auto& found)
                  {
                      if (!found)
                          return refuse(responder, {result_code::store_unavailable,
                                                    found.error().detail, milliseconds{1000}});
                      json items = json::array();
                      for (const auto& it : found.value().items)
                      {
                          const auto r = config::deserialize(it);
                          if (r && (name.empty() || r->name == name))
                              items.push_back(config::to_json(*r));
                      }
                      if (name.empty())
                          return reply(responder,
                                       {{"resourceVersion", std::to_string(found.value().as_of)},
                                        {"items", std::move(items)}});
                      if (items.empty())
                          return refuse(responder, {result_code::not_found, ""});
                      reply(responder, items[0]);
                  });
}

/// Responds with the newest accepted revision and the configuration in effect in each data centre.
void api::status(const io::responder_ptr& responder)
{
    const auto head_received = [this, responder](const auto& head)
    {
        if (!head)
            return refuse(responder, unavailable(head.error()));
        const auto accepted = head.value() ? head.value()->mod_revision : 0;
        m_store.range(std::string{config::status_prefix},
                      [responder, accepted](const auto& found)
                      {
                          if (!found)
                              return refuse(responder, unavailable(found.error()));
                          json centres = json::object();
                          for (const auto& it : found.value().items)
                              centres[it.key.substr(config::status_prefix.size())] =
                                  json::parse(it.value, nullptr, false);
                          reply(responder, {{"accepted_revision", std::to_string(accepted)},
                                            {"data_centres", std::move(centres)}});
                      });
    };
    m_store.get(std::string{config::head_key}, head_received);
}

void api::write(kind k, const std::string& name, const std::string& body,
                const io::responder_ptr& responder)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return refuse(responder, {result_code::bad_json, ""});
    auto r = config::from_json(k, name, value);
    if (!r)
        return refuse(responder, r.error());
    r.value().writer = common::random_id() + common::random_id();
    const auto operation =
        std::make_shared<config::resource_write>(config::resource_write::put(std::move(r.value())));
    carry_out(operation, operation->begin(common::now()), responder);
}

void api::erase(kind k, const std::string& name, const std::string& version,
                const io::responder_ptr& responder)
{
    kv::revision expected = 0;
    if (!common::parse_number(version, expected))
        return refuse(responder, {result_code::bad_field, "resourceVersion must be a number"});
    const auto operation =
        std::make_shared<config::resource_write>(config::resource_write::erase(k, name, expected));
    carry_out(operation, operation->begin(common::now()), responder);
}

void api::carry_out(const std::shared_ptr<config::resource_write>& operation,
                    const config::write_step& step, const io::responder_ptr& responder)
{
    if (const auto* accepted = std::get_if<config::write_accepted>(&step))
    {
        m_metrics.count("kqg_writes_accepted_total");
        return reply(responder, {{"resourceVersion", std::to_string(accepted->version)}});
    }
    if (const auto* refused = std::get_if<config::write_refused>(&step))
    {
        m_metrics.count("kqg_writes_refused_total");
        return refuse(responder, refused->why);
    }
    if (std::holds_alternative<config::read_resources>(step))
    {
        m_store.range(
            std::string{config::replicated_prefix}, [this, operation, responder](const auto& found)
            { carry_out(operation, operation->read_finished(found, common::now()), responder); });
        return;
    }
    const auto& write = std::get<config::write_transaction>(step);
    const auto send = [this, operation, responder, transaction = write.transaction]
    {
        m_store.write({transaction},
                      [this, operation, responder](const auto& done)
                      {
                          const auto first =
                              done ? common::result<kv::write_response>{done.value().at(0)}
                                   : common::result<kv::write_response>{done.error()};
                          carry_out(operation, operation->written(first, common::now()), responder);
                      });
    };
    if (write.pause.count() == 0)
        return send();
    // The callback owns the timer's handle, so the timer lives until it fires.
    auto handle = std::make_shared<io::timer_handle>();
    *handle = m_loop.after(write.pause,
                           [handle, send]
                           {
                               handle->reset();
                               send();
                           });
}

void api::watch(kind k, const std::string& from, const io::responder_ptr& responder)
{
    kv::revision version = 0;
    if (!common::parse_number(from, version) || version < 0)
        return refuse(responder, {result_code::bad_field, "resourceVersion must be a number"});
    responder->start_stream(http_ok, {{"Content-Type", std::string{json_type}}});
    const auto it = m_watches.insert(m_watches.end(), {responder, nullptr});
    const auto remove_watch = [this, it] { m_loop.defer([this, it] { m_watches.erase(it); }); };
    it->store_watch = m_store.start_watch(
        config::key_of(k, ""), {m_store.current_era(), version + 1},
        {[k, responder](auto, const auto& changes, auto)
         {
             for (const auto& change : changes)
                 responder->write(to_line(k, change));
         },
         [responder, remove_watch](const failure& error)
         {
             responder->write(
                 dump({{"type", "ERROR"},
                       {"object", json::parse(shell::to_response(error).body)["error"]}}));
             responder->on_caller_gone(nullptr);
             responder->end();
             remove_watch();
         }});
    responder->on_caller_gone(remove_watch);
}

void api::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    m_server.stop_listening();
    for (const auto& it : m_watches)
    {
        it.responder->on_caller_gone(nullptr);
        it.responder->end();
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
