#pragma once

#include "common/limited_log.hpp"
#include "common/metrics.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_eligibility.hpp"
#include "fleet/target_table.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/load_broadcast.hpp"
#include "gateway/protocol_adapter.hpp"
#include "gateway/state_follower.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "policy/admission_queue.hpp"
#include "policy/engine_latency_model.hpp"
#include "policy/least_load_picker.hpp"
#include "policy/shared_rate_limiter.hpp"
#include "policy/stall_detector.hpp"
#include "policy/windowed_retry_budget.hpp"
#include "shell/program.hpp"
#include "shell/settings_follower.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

using common::timestamp;

/// The gateway's settings.
struct gateway_settings
{
    /// The strictest bound of the known installations is the default.
    static constexpr milliseconds default_apply_time{2000};

    gateway_settings() { common.apply_time = default_apply_time; }

    shell::common_settings common;
    /// `ip:port` for callers.
    std::string listen;
    /// `ip:port` for readiness probes.
    std::string ready_listen;
    /// `ip:port` for metrics; none when empty.
    std::string metrics_listen;
    policy::retry_limits retries;
    /// The regions of the data centres; a target in any other serves no restricted call.
    fleet::region_table regions;
    /// `deadline` or `value`: a name of policy::admission_policy.
    std::string admission_policy{"deadline"};
    /// Parameters of the policy `value`.
    double priority_value_ratio = 2;
    double reserved_part = 1;
    /// Time from SIGTERM to SIGKILL.
    milliseconds grace{8000};
};

/// Adds the gateway's settings to the schema, with `s` as the destination of their values.
void add_settings(common::settings_schema& schema, gateway_settings& s);

class exchange;

/// The state that the gateway keeps for each service.
struct service_state
{
    explicit service_state(const policy::admission_queue_options& admission) : queue{admission} {}

    policy::admission_queue queue;
    policy::least_load_picker picker{policy::least_load_picker_options{}};
    /// No call is sent before this time, since the group of targets has a failed member.
    timestamp paused_until;
    /// The group had a failed member, and no call has succeeded since; calls are sent one at a time
    /// until one succeeds.
    bool is_recovering = false;
    /// The group has a failed member, or all streams of the service have stalled. When this ends,
    /// the queue restarts its measurement of the start rate.
    bool is_halted = false;
    policy::stall_detector stalls;
    policy::engine_latency_model latency;
    /// This gateway's part of the calls that run at the service's targets; 0 before it is measured.
    double share = 0;
    /// The slots that are usable now, and the most that were lately, which falls slowly.
    double usable_slots = 0;
    double recent_slots = 0;
    /// The route's limit of event gaps of the last call that was sent.
    milliseconds gap_goal{0};
};

/// Accepts callers' requests and forwards them directly to targets.
class gateway
{
public:
    gateway(io::event_loop& loop, io::http_client& client, kv::store& store,
            const protocol_adapter& adapter, gateway_settings settings);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Runs until shutdown and returns the program's exit status.
    int run();

    io::event_loop& loop() { return m_loop; }
    io::http_client& client() { return m_client; }
    const protocol_adapter& adapter() const { return m_adapter; }
    common::metrics& metrics() { return m_metrics; }
    /// For the last lines of calls that succeeded.
    common::limited_log& success_log() { return m_success_log; }
    /// For refusals, failures and failed attempts.
    common::limited_log& failure_log() { return m_failure_log; }
    policy::windowed_retry_budget& retry_budget() { return m_retry_budget; }
    crash_guard& crashes() { return m_crash_guard; }
    const fleet::target_table& targets() const { return m_follower.targets(); }
    /// Decides which targets a call may be sent to.
    const fleet::target_eligibility& eligibility() const { return m_eligibility; }
    const fleet::evacuations& evacuated() const { return m_follower.evacuated(); }
    void record_evacuated_send(const fleet::target& it, timestamp now)
    {
        m_follower.record_evacuated_send(it.data_centre, now);
    }
    /// How many times slower than normal the target runs; 1 when nothing is known.
    double slowdown_of(const fleet::target& it) const { return m_follower.slowdown_of(it.address); }
    void release_address(const std::string& id) { m_follower.release_address(id); }
    /// Applies the notices (draining, busy, cold) in the head of a target's response to a request
    /// sent at `sent_at`.
    void apply_target_notices(const fleet::target& it, const target_response& head,
                              timestamp sent_at);
    /// The store revision of the state that decisions are based on.
    kv::revision state_revision() const { return m_follower.as_of(); }
    std::shared_ptr<const fleet::configuration> configuration() const
    {
        return m_follower.configuration();
    }
    service_state& service(const std::string& name)
    {
        return m_services.try_emplace(name, m_admission_options).first->second;
    }
    /// True when new calls are refused, so that open calls can finish before the process exits.
    bool refuses_calls() const { return m_refuses_calls; }
    /// True under the admission policy `value`.
    bool sheds_by_value() const
    {
        return m_admission_options.policy == policy::admission_policy::value;
    }
    /// A random number, at least 0 and less than 1.
    double random() { return std::uniform_real_distribution<double>{0, 1}(m_random); }
    /// The calls of a service that this gateway usually starts per second when all slots are taken,
    /// by the mean response time; 0 before the first response. Only targets that may serve a call
    /// with these permitted regions count.
    double usual_start_rate(const std::string& name, const fleet::permitted_regions& regions,
                            timestamp now);
    /// Sends the queued calls of a service for which a target has a free slot.
    void dispatch(const std::string& name);
    /// Removes an exchange that has ended.
    void remove(const exchange& it);

private:
    void handle_request(io::received_request received, io::responder_ptr responder);
    void handle_peer_state(const std::string& peer, const peer_state& it);
    void refuse_unreachable_deadlines(const std::string& name, service_state& state, timestamp now);
    void write_metrics(timestamp now);
    void prepare_servers();
    void write_admission_metrics(const std::string& name, const service_state& state,
                                 timestamp now);
    void handle_admin_request(const io::received_request& received, io::responder& responder);
    std::string pick_target(const std::string& name, service_state& state, const exchange& it,
                            timestamp now);
    void refuse_unplaceable_calls(timestamp now);
    void handle_evacuation_change(timestamp now);
    bool note_tick(timestamp now);
    bool holds_calls(timestamp now) const;
    void write_placement_metrics();
    double cold_rate_of(const std::string& service) const;
    std::set<std::string> rate_limited_cold(timestamp now) const;
    bool may_send(const fleet::target& it, timestamp now) const;
    std::map<std::string, double> limited_rates(timestamp now) const;
    void update_send_limits(timestamp now);
    /// The slots of a target that are used now: fewer while it is cold.
    double usable_slots(const fleet::target& it, timestamp now) const;
    bool may_probe(const fleet::target& it, timestamp now);
    void note_cold(const fleet::target& it, const target_response& head, timestamp sent_at);
    void add_cold(peer_state& own, timestamp now);
    void write_cold_metrics(timestamp now);
    bool may_start(std::uint64_t id, timestamp now) const;
    bool is_limited_to(const std::vector<fleet::permitted_regions>& sets, std::uint64_t id) const;
    bool is_own_trial_turn(const call_marks& marks, timestamp now) const;
    void tick();
    void broadcast_state(timestamp now);
    void report_started_gateway(timestamp now);
    /// The slots of all eligible targets of a service.
    std::size_t slots_of(const std::string& service, timestamp now) const
    {
        return m_eligibility.slots(service, {}, now);
    }
    void update_queue_halt(const std::string& name, service_state& state, timestamp now);
    /// Tells the service's queue how many slots this gateway may use.
    void update_admission(const std::string& name, service_state& state, timestamp now);
    /// Refuses queued calls that don't start in time. Called after free slots have been used, since
    /// the prediction assumes that there are none.
    void refuse_by_prediction(service_state& state, timestamp now);
    void refuse_queued(const std::vector<std::uint64_t>& ids, common::result_code why);
    double slot_share(const std::vector<const fleet::target*>& all, service_state& state,
                      timestamp now) const;
    void update_latency_model(const std::string& name, service_state& state, timestamp now);
    void handle_state_change();
    void reload_settings(const std::string& text);
    void begin_shutdown();
    void stop_when_idle();
    void refuse_unfinishable_calls(timestamp now);
    void end_open_calls();
    /// True when calls are served as well as later on: the configuration is known, and retries are
    /// possible.
    bool is_ready() const;
    void update_readiness(timestamp now);

    io::event_loop& m_loop;
    io::http_client& m_client;
    kv::store& m_store;
    const protocol_adapter& m_adapter;
    gateway_settings m_settings;
    state_follower m_follower;
    load_broadcast m_load_broadcast;
    policy::windowed_retry_budget m_retry_budget;
    crash_guard m_crash_guard;
    policy::shared_rate_limiter m_rate_limiter;
    fleet::target_eligibility m_eligibility;
    /// The evacuations that the queues' start rates are adjusted to.
    fleet::evacuations m_applied_evacuations;
    timestamp m_ticked_at;
    /// The process was paused before the last tick, so what arrived meanwhile may not be read yet.
    bool m_was_paused = false;
    /// How often a target was not considered for a call, by the number of the reason.
    fleet::skip_counts m_skipped_targets{};
    common::metrics m_metrics;
    common::limited_log m_success_log;
    common::limited_log m_failure_log;
    std::mt19937_64 m_random{std::random_device{}()};
    policy::admission_queue_options m_admission_options;
    std::map<std::string, service_state> m_services;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::uint64_t m_next_exchange = 1;
    io::http_server m_server;
    io::http_server m_admin_server;
    std::unique_ptr<io::http_server> m_metrics_server;
    std::unique_ptr<shell::settings_follower> m_settings_follower;
    timestamp m_limits_sent_at;
    timestamp m_cold_sent_at;
    std::uint64_t m_cold_sent_version = 0;
    /// When the first configuration was known.
    std::optional<timestamp> m_configured_at;
    /// The retry budget has settled since the start.
    bool m_can_retry = false;
    timestamp m_shutdown_started_at;
    bool m_is_shutting_down = false;
    bool m_refuses_calls = false;
    io::timer_handle m_tick_timer;
    io::timer_handle m_store_calls_timer;
    io::timer_handle m_idle_timer;
};

} // namespace kumquatgap::gateway
