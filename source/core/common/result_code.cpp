#include "common/result_code.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::common
{

namespace
{

using enum result_code;
using enum execution;

constexpr auto s_codes = std::to_array<result_code_info>({
    {ok, "ok", 200, ran, "The call was answered."},

    {bad_json, "bad_json", 400, not_run, "The body is not valid JSON."},
    {body_too_large, "body_too_large", 413, not_run, "The body is longer than the limit."},
    {headers_too_large, "headers_too_large", 431, not_run,
     "The headers are longer than the limit."},
    {unknown_team, "unknown_team", 401, not_run, "No team has this bearer token."},
    {unknown_model, "unknown_model", 404, not_run, "No service offers this model."},
    {unknown_route, "unknown_route", 404, not_run, "No service has this path."},
    {method_not_allowed, "method_not_allowed", 405, not_run, "The path does not take this method."},
    {bad_field, "bad_field", 400, not_run, "A field is missing or has a wrong value."},
    {key_required, "key_required", 400, not_run,
     "This call must not repeat: send an Idempotency-Key header."},
    {key_reused, "key_reused", 422, not_run,
     "The idempotency key was used before with another call."},
    {not_permitted, "not_permitted", 403, not_run, "The token does not permit this."},
    {bad_key, "bad_key", 400, not_run, "The idempotency key is empty, too long or not printable."},
    {bad_request, "bad_request", 400, not_run, "The request is not valid HTTP or has no id."},
    {request_timeout, "request_timeout", 408, not_run, "The request did not arrive whole in time."},

    {no_target, "no_target", 503, not_run, "No target of the service takes work now."},
    {target_draining, "target_draining", 503, not_run, "The target is leaving."},
    {queue_full, "queue_full", 429, not_run, "The queue for this service is full."},
    {deadline_unreachable, "deadline_unreachable", 429, not_run,
     "The call can't start in time at the present load."},
    {router_draining, "router_draining", 503, not_run, "This router is shutting down."},
    {not_ready, "not_ready", 503, not_run, "No configuration has been received yet."},
    {ledger_unavailable, "ledger_unavailable", 503, not_run,
     "Calls that must not repeat can't be recorded now."},
    {attempt_sealed, "attempt_sealed", 503, not_run, "The attempt was withdrawn before it ran."},
    {target_unreachable, "target_unreachable", 503, not_run, "The target took no connection."},
    {wrong_target, "wrong_target", 503, not_run, "The agent does not serve this service."},
    {router_full, "router_full", 429, not_run, "This router has reached its open call limit."},
    {target_busy, "target_busy", 503, not_run, "The target has asked to be left alone for a time."},
    {prompt_quarantined, "prompt_quarantined", 503, not_run,
     "A part of the prompt has crashed targets."},
    {request_quarantined, "request_quarantined", 503, not_run,
     "The same request has crashed targets."},
    {data_centre_evacuated, "data_centre_evacuated", 503, not_run,
     "The data centres of all targets that may serve the call are being evacuated."},
    {no_permitted_target, "no_permitted_target", 503, not_run,
     "No target of the service is in a region that may serve the call."},
    {memory_full, "memory_full", 503, not_run, "The memory for requests is full."},
    {late_call_refused, "late_call_refused", 429, not_run,
     "The call would be late, and calls on time need the targets."},

    {outcome_unknown, "outcome_unknown", 504, unknown,
     "The call may have run; its answer was lost."},
    {in_progress, "in_progress", 409, unknown, "A call with this idempotency key is under way."},
    {stream_cut, "stream_cut", 502, unknown, "The answer was cut before its end."},
    {wrong_answer, "wrong_answer", 502, unknown, "The target answered another request."},
    {bad_target_answer, "bad_target_answer", 502, unknown, "The target's answer is malformed."},
    {caller_gone, "caller_gone", 499, unknown, "The caller closed the connection."},
    {target_timeout, "target_timeout", 504, unknown, "The target sent nothing in time."},
    {answer_not_kept, "answer_not_kept", 409, ran,
     "The call ran before; its answer was too long to be kept."},
    {answer_too_long, "answer_too_long", 502, unknown,
     "The target sent more than an answer may have."},

    {conflict, "conflict", 409, not_run, "The resource has changed since it was read."},
    {not_found, "not_found", 404, not_run, "There is no such resource."},
    {invalid_resource, "invalid_resource", 422, not_run, "The resource breaks a rule."},
    {unknown_kind, "unknown_kind", 404, not_run, "There is no such kind of resource."},

    {store_unavailable, "store_unavailable", 503, not_run, "The platform's store did not answer."},
    {write_outcome_unknown, "write_outcome_unknown", 504, unknown,
     "The platform's store may have taken the write; read before trying again."},
    {compacted, "compacted", 410, not_run, "The revision is older than the store keeps."},

    {bad_settings, "bad_settings", 500, not_run, "The settings are wrong."},
    {bad_message, "bad_message", 400, not_run, "A control message is malformed."},
    {stale_number, "stale_number", 409, not_run, "The order carries an old fencing number."},
});

static_assert(std::ranges::is_sorted(s_codes, {}, &result_code_info::code));

} // namespace

std::span<const result_code_info> result_codes()
{
    return s_codes;
}

const result_code_info* find_code(std::uint16_t number)
{
    const auto it = std::ranges::lower_bound(s_codes, static_cast<result_code>(number), {},
                                             &result_code_info::code);
    if (it == s_codes.end() || common::number(it->code) != number)
        return nullptr;
    return &*it;
}

const result_code_info& info(result_code code)
{
    return *find_code(number(code));
}

bool is_not_run(result_code code)
{
    return info(code).executed == execution::not_run;
}

} // namespace kumquatgap::common
