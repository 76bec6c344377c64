#pragma once

#include "../../tests/failures/process.hpp"
#include "../../tests/failures/relay.hpp"
#include "../../tests/stand_ins/platform_store.hpp"
#include "../../tests/stand_ins/scripted_target.hpp"
#include "../../tests/stand_ins/target_answers.hpp"

#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgap::review
{

using common::milliseconds;
using common::timestamp;
using stand_ins::scripted_target;

/// The exit statuses of a case.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// How one request of a requester ended.
struct requester_call
{
    std::string id;
    std::string path;
    timestamp sent_at;
    timestamp ended_at;
    bool ended = false;
    io::call_outcome how = io::call_outcome::cut;
    int status = 0;
    std::string body;
    io::http_response head;
    io::call_handle handle;
};

using call_ptr = std::shared_ptr<requester_call>;

/// A small deployment on loopback addresses: gateway processes with the settings of the deploy
/// file's template, the platform's store and runners in this process, and a record of what was
/// sent, answered and run.
class site
{
public:
    struct options
    {
        int gateways = 1;
        /// Each gateway reaches the store through a relay of its own.
        bool has_store_relays = false;
    };

    explicit site(options how);
    site(const site&) = delete;
    site& operator=(const site&) = delete;
    ~site();

    io::event_loop& loop() { return m_loop; }
    stand_ins::platform_store& store() { return *m_store; }
    failures::process& gateway(std::size_t i) { return *m_gateways.at(i); }
    failures::relay& store_relay(std::size_t i) { return *m_store_relays.at(i); }
    /// The text of a gateway's metrics.
    std::string metrics(std::size_t i);
    std::size_t gateways() const { return m_gateways.size(); }
    const std::string& name(std::size_t i) const { return m_names.at(i); }
    const std::string& front(std::size_t i) const { return m_fronts.at(i); }

    /// Starts a runner and writes its entry.
    scripted_target& add_runner(const std::string& id, const std::string& service,
                                scripted_target::script fn, const std::string& zone = "ub-east");
    /// An entry of a ready runner.
    static nlohmann::json entry(const std::string& service, const std::string& address,
                                const std::string& zone = "ub-east");
    /// The configuration of a small deployment: one host, a route of each kind, tenants.
    static nlohmann::json config(std::int64_t version);
    void put_config(const nlohmann::json& it);
    /// Waits until all gateways are ready; false on timeout.
    bool wait_ready();
    bool is_ready(std::size_t i);

    /// A request of tenant `shop-1`; `path` selects the route.
    static io::http_request request(const std::string& path, const std::string& id,
                                    const std::string& body = "",
                                    const std::string& deadline_ms = "1500");
    /// Sends a request to a gateway; the result is filled in as the answer arrives.
    call_ptr send(const io::http_request& it, std::size_t i = 0);
    /// Runs the loop until the condition holds; false if it does not in time.
    bool wait_until(const std::function<bool()>& condition,
                    milliseconds limit = milliseconds{20'000});
    void run_for(milliseconds time);

    /// Writes a line to the record, with the time since the start.
    void record(const std::string& text);
    milliseconds elapsed() const { return common::now() - m_started_at; }

private:
    void start_gateway(const std::string& store_address);
    io::http_response admin_call(std::size_t i, const std::string& path);

    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    timestamp m_started_at = common::now();
    std::ofstream m_record;
    std::string m_directory;
    std::unique_ptr<stand_ins::platform_store> m_store;
    std::vector<std::unique_ptr<scripted_target>> m_runners;
    std::vector<std::unique_ptr<failures::relay>> m_store_relays;
    std::vector<std::string> m_names;
    std::vector<std::string> m_fronts;
    std::vector<std::string> m_ready_addresses;
    std::vector<std::unique_ptr<failures::process>> m_gateways;
};

using replacements = std::vector<std::pair<std::string, std::string>>;

/// A settings template with its fields filled in as the platform does.
std::string filled_template(const std::string& path, const replacements& fields);

/// A new folder for the files of a case.
std::string make_temp_directory();

/// False when the environment says TROUBLE=0: the case then runs without the disruption.
bool has_trouble();

/// Runs a case; an exception means that it could not run.
int run_case(const std::function<verdict()>& fn);

} // namespace kumquatgap::review
