#pragma once

#include "platform_store.hpp"
#include "process.hpp"
#include "relay.hpp"
#include "scripted_target.hpp"
#include "target_answers.hpp"

#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquatgap::platform_tests
{

/// How one call of a test ended.
struct outcome
{
    bool ended = false;
    io::call_outcome how = io::call_outcome::cut;
    io::http_response answer;

    std::string_view field(std::string_view name) const { return answer.headers.find(name); }
};

/// A call in progress; destroying it closes the connection.
struct open_call
{
    outcome result;
    std::string so_far;
    io::call_handle handle;
};

/// A store and scripted targets in the test process, and one or more gateway processes.
class gateway_deployment
{
public:
    /// With `own_store_relays`, each gateway connects to the store through its own relay. `regions`
    /// is the table of regions in the gateways' settings.
    explicit gateway_deployment(int gateways = 1, bool own_store_relays = false,
                                const std::string& regions = "");
    gateway_deployment(const gateway_deployment&) = delete;
    gateway_deployment& operator=(const gateway_deployment&) = delete;
    ~gateway_deployment();

    io::event_loop& loop() { return m_loop; }
    stand_ins::platform_store& store() { return *m_store; }
    failures::process& gateway(std::size_t i = 0) { return *m_gateways.at(i); }
    void restart_gateway(std::size_t i);
    /// Replaces a text in a gateway's settings file without sending SIGHUP; throws if the text is
    /// missing.
    void change_settings(const std::string& old_text, const std::string& new_text,
                         std::size_t i = 0);
    /// The relay between a gateway and the store.
    failures::relay& store_relay(std::size_t i) { return *m_store_relays.at(i); }

    /// Starts a target of a service and writes its entry to the store.
    stand_ins::scripted_target& add_target(const std::string& id, const std::string& service,
                                           stand_ins::scripted_target::script fn,
                                           const std::string& data_centre = "a");
    void put_entry(const std::string& id, const std::string& service, const std::string& address,
                   const std::string& state = "ready", const std::string& data_centre = "a");
    /// The configuration of the tests: safe, unsafe and streaming routes of one host.
    nlohmann::json config(std::int64_t version) const;
    void put_config(const nlohmann::json& it);
    /// Waits until a gateway reports readiness; false on timeout. It then knows all targets that
    /// were added before the configuration.
    bool wait_ready(std::size_t i = 0);
    bool is_ready(std::size_t i = 0);
    /// The text of a gateway's metrics.
    std::string metrics(std::size_t i = 0);

    /// A request of the tests' team; `path` selects the route.
    io::http_request request(const std::string& path, const std::string& id,
                             const std::string& body = "") const;
    std::shared_ptr<open_call> begin(const io::http_request& it, std::size_t i = 0,
                                     io::call_options how = {});
    outcome call(const io::http_request& it, std::size_t i = 0);
    /// Sends bytes on a new connection, and returns the bytes received until they end with `end` or
    /// the connection is closed.
    std::string raw_call(std::string_view bytes, std::string_view end, std::size_t i = 0);
    /// A connection without a request, which stays open until the result is destroyed.
    std::shared_ptr<const int> open_connection(std::size_t i = 0) const;
    /// Runs the loop until the condition holds; false if it does not within 20 s.
    bool wait_until(const std::function<bool()>& condition);
    void run_for(common::milliseconds time);
    const std::string& address(std::size_t i = 0) const { return m_addresses.at(i); }
    /// The address of a gateway's probes.
    const std::string& ready_address(std::size_t i = 0) const { return m_ready_addresses.at(i); }
    /// The text of a gateway's log so far.
    std::string log(std::size_t i = 0) const;

private:
    void start_gateway(std::size_t i);
    outcome admin_call(const std::string& path, std::size_t i);

    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    std::string m_directory;
    std::unique_ptr<stand_ins::platform_store> m_store;
    std::vector<std::unique_ptr<stand_ins::scripted_target>> m_targets;
    std::vector<std::unique_ptr<failures::relay>> m_store_relays;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_ready_addresses;
    std::vector<std::unique_ptr<failures::process>> m_gateways;
};

using stand_ins::events_text;
using stand_ins::stream_event;
using stand_ins::stream_head;
using stand_ins::whole_answer;

} // namespace kumquatgap::platform_tests
