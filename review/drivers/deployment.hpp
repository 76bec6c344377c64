#pragma once

#include "../../tests/failures/process.hpp"
#include "../../tests/failures/relay.hpp"
#include "../../tests/stand_ins/platform_store.hpp"
#include "../../tests/stand_ins/scripted_target.hpp"
#include "../../tests/stand_ins/target_answers.hpp"

#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::review
{

using common::milliseconds;
using common::timestamp;

/// The bounds of the sheet of `sites/tuuz-router.toml` that the cases use.
inline constexpr milliseconds contact_time{3000};
inline constexpr milliseconds config_apply_time{2000};
inline constexpr milliseconds grace_time{8000};

/// Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// True unless the environment has TROUBLE=0.
bool has_trouble();

/// A file with one line for each thing that was sent, answered or run, with the time since its
/// start in milliseconds.
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    std::int64_t now_ms() const { return (common::now() - m_start).count(); }

private:
    timestamp m_start;
    std::ofstream m_file;
};

/// A requester's request and what has come of it.
struct open_request
{
    std::string id;
    timestamp sent_at;
    bool ended = false;
    io::call_outcome how = io::call_outcome::cut;
    int status = 0;
    std::string body;
    timestamp ended_at;
    std::function<void(open_request&)> on_end;
    io::call_handle handle;
};

using request_ptr = std::shared_ptr<open_request>;

/// The platform's store and runners, in this process, and gateways as processes of their own with
/// the settings that `deploy/gateway.ini` gives for the sheet's bounds.
class deployment
{
public:
    /// `binaries` is the folder of the deploy file's build, `folder` where the logs go. With
    /// `has_relays`, each gateway reaches the store through a relay of its own.
    deployment(const std::string& binaries, record& to, int gateways, bool has_relays);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    io::event_loop& loop() { return m_loop; }
    stand_ins::platform_store& store() { return *m_store; }
    failures::process& gateway(std::size_t i) { return *m_gateways.at(i); }
    failures::relay& store_relay(std::size_t i) { return *m_relays.at(i); }
    std::size_t gateways() const { return m_gateways.size(); }
    /// Writes a runner's entry.
    void put_entry(const std::string& id, const std::string& service, const std::string& address,
                   int slots, std::int64_t born);
    /// Sends a request on a new channel, or on one that was kept.
    request_ptr send(std::size_t gateway, const io::http_request& request,
                     std::function<void(open_request&)> on_end = {});
    bool is_ready(std::size_t i);
    bool wait_ready();
    bool wait_until(const std::function<bool()>& condition, milliseconds limit);
    void run_for(milliseconds time);
    /// Calls fn after a time.
    void after(milliseconds delay, std::function<void()> fn);
    /// Calls fn at each period.
    void every(milliseconds period, std::function<void()> fn);
    std::string log_path(std::size_t i) const;

private:
    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    record& m_record;
    std::string m_folder;
    std::unique_ptr<stand_ins::platform_store> m_store;
    std::vector<std::unique_ptr<failures::relay>> m_relays;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_ready_addresses;
    std::vector<std::unique_ptr<failures::process>> m_gateways;
    std::vector<io::timer_handle> m_timers;
    std::vector<request_ptr> m_requests;
};

/// The services and limits of the sheet's configuration, without routes and tenants.
nlohmann::json base_configuration(std::int64_t version);
/// A route of the host `desk.example`.
nlohmann::json route(const std::string& prefix, const std::string& kind, const std::string& service,
                     int timeout_ms, int goal_ms, int max_attempts);
/// The figures of the sheet's engines; its runners are the ranks of a group.
nlohmann::json group_engine(int slots);

/// The value of a command line option `--name=`; throws when it is missing.
std::string option(int argc, char** argv, const std::string& name);

} // namespace kumquatgap::review
