#pragma once

#include "common/metrics.hpp"
#include "config/resource_write.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "kv/etcd_store.hpp"
#include "shell/program.hpp"

#include <list>
#include <memory>
#include <string>

namespace kumquatgap::api
{

/// The API's settings.
struct api_settings
{
    shell::common_settings common;
    std::string listen;
    /// May read and write resources.
    std::string operator_token;
    /// May only read resources.
    std::string reader_token;
};

/// Declares the API's settings.
void add_settings(common::settings_schema& schema, api_settings& s);

/// Serves the operators' resources over HTTP. Stateless: all resources are in the platform's store.
class api
{
public:
    explicit api(const api_settings& settings);

    /// Runs until shut down; the result is the program's exit status.
    int run();

private:
    /// A watch request's response stream and the store watch that feeds it.
    struct watch_stream
    {
        io::responder_ptr responder;
        std::unique_ptr<kv::watch> store_watch;
    };

    void handle(const io::received_request& received, const io::responder_ptr& responder);
    std::optional<common::failure> refusal(const io::received_request& received) const;
    void status(const io::responder_ptr& responder);
    void read(config::kind k, const std::string& name, const io::responder_ptr& responder);
    void write(config::kind k, const std::string& name, const std::string& body,
               const io::responder_ptr& responder);
    void erase(config::kind k, const std::string& name, const std::string& version,
               const io::responder_ptr& responder);
    void watch(config::kind k, const std::string& from, const io::responder_ptr& responder);
    void carry_out(const std::shared_ptr<config::resource_write>& operation,
                   const config::write_step& step, const io::responder_ptr& responder);
    void begin_shutdown();

    api_settings m_settings;
    io::event_loop m_loop;
    io::http_client m_client;
    kv::etcd_store m_store;
    common::metrics m_metrics;
    std::list<watch_stream> m_watches;
    io::http_server m_server;
    bool m_shutting_down = false;
    io::timer_handle m_idle_timer;
};

} // namespace kumquatgap::api
