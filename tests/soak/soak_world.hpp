#pragma once

#include "soak_target.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::soak
{

/// One run: gateways as processes, targets behind relays, a store, callers, and faults in series
/// that overlap, all drawn from a seed. What callers and targets see must keep the promises.
class soak_world
{
public:
    soak_world(std::uint64_t seed, common::milliseconds length);

    /// Plays the run; what was broken, one line each.
    std::vector<std::string> run();
    /// What the run did, for the reader of a result.
    std::string summary() const;

private:
    /// A request, and what came of it.
    struct call
    {
        std::string id;
        std::string path;
        std::size_t gateway = 0;
        std::shared_ptr<platform_tests::open_call> open;
        bool is_checked = false;
    };
    /// The end of a fault.
    struct undo
    {
        common::timestamp at;
        std::function<void()> fn;
    };

    std::uint64_t draw(std::uint64_t below);
    common::milliseconds draw_time(int from_ms, int to_ms);
    soak_target& any_target() { return *m_targets[draw(m_targets.size())]; }
    void begin_call(std::size_t gateway, std::string_view path);
    void check(const call& it);
    void check_stream(const call& it);
    void check_counts();
    void check_repeats();
    void check_recovery();
    void begin_fault();
    void target_fault();
    void path_fault();
    void store_fault();
    void plan_restore();
    void restore_store_when_due();
    void plan_storm();
    void plan_repeats();
    void begin_storm_when_due();
    void state_change();
    void gateway_fault();
    void stop_gateway(std::size_t i);
    void later(common::milliseconds delay, std::function<void()> fn);
    void end_faults(bool all);
    void tick();
    void broke(const std::string& what);
    void broke(const call& it, const std::string& what);

    std::uint64_t m_seed;
    common::milliseconds m_length;
    std::mt19937_64 m_random;
    /// When a copy of the store is taken, and when the store is restored from it; never in half of
    /// the runs.
    common::timestamp m_copy_at = common::timestamp::max();
    common::timestamp m_restore_at = common::timestamp::max();
    /// When many targets begin to fail while gateways restart; never in half of the runs.
    common::timestamp m_storm_at = common::timestamp::max();
    common::timestamp m_storm_end;
    platform_tests::gateway_deployment m_site;
    run_counts m_runs;
    service_repeats m_repeats;
    std::vector<std::unique_ptr<soak_target>> m_targets;
    std::vector<call> m_calls;
    std::vector<undo> m_undos;
    std::vector<bool> m_is_stopped;
    std::vector<std::string> m_broken;
    std::int64_t m_config_version = 1;
    int m_faults = 0;
    int m_served = 0;
    int m_refused = 0;
};

} // namespace kumquatgap::soak
