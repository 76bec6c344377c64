#pragma once

#include "gateway_deployment.hpp"
#include "late_repeats.hpp"
#include "relay.hpp"
#include "repeat_count.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace kumquatgap::soak
{

/// How a target treats what reaches it.
enum class target_mood : std::uint8_t
{
    answers,
    /// Says truly that it did not run the request.
    refuses,
    /// Runs it, and answers with a failure.
    fails,
    /// Runs it, and answers late.
    is_slow,
    /// Runs it, and resets before the answer, or in its middle.
    resets,
    cuts,
    /// Runs it, and answers with what belongs to another request.
    mixes_up,
    /// Runs it, and sends more bytes than its answer has.
    sends_surplus
};
inline constexpr int target_moods = 8;

/// How often each request was run, by its id, over all targets.
using run_counts = std::map<std::string, int>;

/// What was sent for each service, and what arrived at its targets.
using service_repeats = std::map<std::string, stand_ins::repeat_count>;

/// The body of a request's own answer, long enough to be cut.
std::string own_answer(const std::string& id);
inline constexpr int last_event = 12;

/// A back end behind a relay. It counts what it runs, and refuses requests that name another start.
class soak_target
{
public:
    soak_target(platform_tests::gateway_deployment& site, run_counts& runs,
                service_repeats& repeats, std::string id, std::string service);

    failures::relay& path() { return *m_relay; }
    void set_mood(target_mood mood) { m_mood = mood; }
    /// Refuses some requests in any mood, and sends some of its whole responses, refusals too,
    /// again, late. Its refusals name it, so that a refused call may return to it.
    void start_repeating(std::uint64_t seed);
    void stop_repeating() { m_is_repeating = false; }
    /// Starts again under another id at the same address.
    void start_anew();
    void remove_entry();
    void put_entry();

private:
    using reply = stand_ins::scripted_target::reply;
    void take(const io::http_request& request, const reply& out);
    void answer(const io::http_request& request, const reply& out);
    void stream(const io::http_request& request, const reply& out);
    void send_event(const io::http_request& request, const reply& out, int first, int n);
    void refuse(const io::http_request& request, const reply& out, int status);
    void write_whole(const reply& out, const std::string& response);
    void plan_repeat(const reply& out, const std::string& response);
    bool draws(double share);

    platform_tests::gateway_deployment& m_site;
    run_counts& m_runs;
    service_repeats& m_repeats;
    std::string m_id;
    std::string m_service;
    int m_starts = 0;
    target_mood m_mood = target_mood::answers;
    stand_ins::late_repeats m_late_repeats;
    bool m_is_repeating = false;
    std::mt19937_64 m_random;
    std::unique_ptr<failures::relay> m_relay;
    std::vector<io::timer_handle> m_timers;
};

} // namespace kumquatgap::soak
