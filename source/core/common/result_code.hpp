#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace kumquatgap::common
{

/// What is known about the execution of a call whose caller got no regular response.
enum class execution : std::uint8_t
{
    /// The call was not executed by a target, and never will be.
    not_run,
    /// The call may have been executed; a retry is safe only with an idempotency key.
    unknown,
    /// The call was executed.
    ran
};

/// All outcomes of a request. The numbers are part of the public interface and are
/// never reused; docs/RESULT_CODES.md lists them.
enum class result_code : std::uint16_t
{
    ok = 0,

    bad_json = 1001,
    body_too_large = 1002,
    headers_too_large = 1003,
    unknown_team = 1004,
    unknown_model = 1005,
    unknown_route = 1006,
    method_not_allowed = 1007,
    bad_field = 1008,
    key_required = 1009,
    key_reused = 1010,
    not_permitted = 1011,
    bad_key = 1012,
    bad_request = 1013,
    request_timeout = 1014,

    no_target = 2001,
    target_draining = 2002,
    queue_full = 2003,
    deadline_unreachable = 2004,
    router_draining = 2005,
    not_ready = 2006,
    ledger_unavailable = 2007,
    attempt_sealed = 2008,
    target_unreachable = 2009,
    wrong_target = 2010,
    router_full = 2011,
    target_busy = 2012,
    prompt_quarantined = 2013,
    request_quarantined = 2014,
    data_centre_evacuated = 2015,
    no_permitted_target = 2016,
    memory_full = 2017,
    late_call_refused = 2018,

    outcome_unknown = 3001,
    in_progress = 3002,
    stream_cut = 3003,
    wrong_answer = 3004,
    bad_target_answer = 3005,
    caller_gone = 3006,
    target_timeout = 3007,
    answer_not_kept = 3008,
    answer_too_long = 3009,

    conflict = 4001,
    not_found = 4002,
    invalid_resource = 4003,
    unknown_kind = 4004,

    store_unavailable = 5001,
    write_outcome_unknown = 5002,
    compacted = 5003,

    bad_settings = 6001,
    bad_message = 6002,
    stale_number = 6003
};

/// One row of the result code table.
struct result_code_info
{
    result_code code;
    std::string_view name;
    std::uint16_t http_status;
    execution executed;
    std::string_view text;
};

/// All result codes in ascending order of number.
std::span<const result_code_info> result_codes();

/// The table's row for a code. Every enumerator has a row.
const result_code_info& info(result_code code);

/// The row for a number received from another process; null when the number is unknown.
const result_code_info* find_code(std::uint16_t number);

/// The number written to responses and logs.
constexpr std::uint16_t number(result_code code)
{
    return static_cast<std::uint16_t>(code);
}

/// True when the code guarantees that the call was not executed and never will be.
bool is_not_run(result_code code);

} // namespace kumquatgap::common
