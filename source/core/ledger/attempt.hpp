#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"
#include "kv/store.hpp"
#include "ledger/record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kumquatgap::ledger
{

/// Write this record if the key has the expected revision, then call written().
struct write_record
{
    kv::revision expected = 0;
    record value;
};

/// Write the record after a pause, then call written().
struct retry_write
{
    common::milliseconds pause;
    write_record write;
};

/// Send the call to the target now, then call responded(), not_delivered() or response_lost().
struct run_call
{
};

/// Respond to the caller with a failure.
struct refuse_call
{
    common::failure why;
};

/// Respond to the caller with the stored response of an earlier attempt.
struct replay_response
{
    stored_response response;
};

/// Release the attempt; it has finished.
struct discard_attempt
{
};

using action = std::variant<write_record, retry_write, run_call, refuse_call, replay_response,
                            discard_attempt>;
using actions = std::vector<action>;

/// Timing of an attempt.
struct attempt_options
{
    /// The claim is abandoned when the store has not confirmed or refused it after this time.
    common::milliseconds claim_timeout{2000};
    /// The pause before a write with an unknown outcome is retried.
    common::milliseconds retry_pause{200};
    /// When the caller should retry a call that is in progress at another attempt.
    common::milliseconds retry_after{1000};
};

/// One attempt of an agent to run an at-most-once call.
///
/// The attempt owns the idempotency key once its `started` record is in the platform's store, and
/// only then is the call sent to the target. A write whose response was lost is retried until the
/// store reports its outcome. An abandoned attempt never runs the call; it goes on in the
/// background until its record is marked withdrawn, which frees the key for the next attempt.
class attempt
{
public:
    /// `owner` must be unique among all attempts, also across restarts of the agent.
    attempt(std::string owner, std::string fingerprint, attempt_options options);

    /// Starts the attempt.
    actions begin(common::timestamp now);
    /// The store has responded to the last write, or the response was lost.
    actions written(const common::result<kv::write_response>& response, common::timestamp now);
    /// The target has responded.
    actions responded(stored_response response);
    /// The call could not be sent, so the target has not received it. The caller is refused only
    /// after the store has responded to the write of the withdrawn record: a retry that found the
    /// `started` record would be refused because the call is in progress.
    actions not_delivered();
    /// The call was sent and its response was lost.
    actions response_lost();
    /// The caller has disconnected, or the call's deadline has passed. Returns true when the call
    /// has not been sent yet and so never will be; the attempt then goes on in the background only.
    bool withdraw();

    bool is_running() const { return m_phase == phase::running; }

private:
    enum class phase : std::uint8_t
    {
        claiming,
        running,
        closing,
        finished
    };

    actions claim_refused(const kv::write_response& response);
    actions resolve_existing_record(const record& found, kv::revision at_revision);
    actions claim_outcome_unknown(const common::failure& why, common::timestamp now);
    actions withdrawn_claim_written(const common::result<kv::write_response>& response);
    actions close_written(const common::result<kv::write_response>& response);
    actions close_refused(const kv::write_response& response);
    actions abandon(common::failure why);
    actions close(record_state state, std::optional<stored_response> response);
    actions finish(action last);
    write_record current_write() const { return {m_expected, m_record}; }

    record m_record;
    attempt_options m_options;
    phase m_phase = phase::claiming;
    kv::revision m_expected = 0;
    common::timestamp m_started_at;
    bool m_withdrawn = false;
    /// The failure that the caller gets once the record is closed.
    std::optional<common::failure> m_refusal;
};

} // namespace kumquatgap::ledger
