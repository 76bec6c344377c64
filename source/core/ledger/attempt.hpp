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

/// Write this record while the key is at the expected revision, then call written().
struct write_record
{
    kv::revision expected = 0;
    record value;
};

/// Write it again after a pause, then call written().
struct write_later
{
    common::milliseconds pause;
    write_record write;
};

/// Hand the call to the target now, then call answered(), unreached() or answer_lost().
struct run_call
{
};

/// Answer the caller with a refusal or with what is known.
struct refuse_call
{
    common::failure why;
};

/// Answer the caller with the kept answer of an earlier attempt.
struct replay_answer
{
    kept_answer answer;
};

/// Nothing more happens for this attempt.
struct forget_attempt
{
};

using action =
    std::variant<write_record, write_later, run_call, refuse_call, replay_answer, forget_attempt>;
using actions = std::vector<action>;

/// How an attempt uses the ledger.
struct attempt_options
{
    /// The claim is given up when the store has not settled it after this time.
    common::milliseconds claim_timeout{2000};
    /// The pause before a write with an unknown outcome is repeated.
    common::milliseconds retry_pause{200};
    /// When the caller should repeat a call that is under way elsewhere.
    common::milliseconds retry_after{1000};
};

/// One attempt, at one agent, at a call that must not run twice.
///
/// The attempt owns the key once its `started` record stands in the platform's store, and only
/// then is the call handed over. A write whose answer was lost is repeated until the store says
/// what became of it. An attempt that is given up never runs; it goes on in the background until
/// the record says so too, so that the key is free for the next attempt.
class attempt
{
public:
    /// `owner` must be unique to this attempt and this run of the agent.
    attempt(std::string owner, std::string fingerprint, attempt_options options);

    /// Starts the attempt.
    actions begin(common::timestamp at);
    /// The store has answered the last write.
    actions written(const common::result<kv::write_answer>& answer, common::timestamp at);
    /// The target has answered.
    actions answered(kept_answer answer);
    /// The call could not be handed over: the target never saw it. The caller is refused once the
    /// record says so too, since a repeat that met the old record would have to be told that the
    /// call is under way.
    actions unreached();
    /// The call was handed over and its answer was lost.
    actions answer_lost();
    /// The caller has gone, or the call's time is over. Returns true when the call was not handed
    /// over yet and so never will be; the attempt then goes on in the background only.
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

    actions claim_refused(const kv::write_answer& answer);
    actions claim_meets(const record& found, kv::revision at_revision);
    actions claim_uncertain(const common::failure& why, common::timestamp at);
    actions withdrawn_claim(const common::result<kv::write_answer>& answer);
    actions closed(const common::result<kv::write_answer>& answer);
    actions close_refused(const kv::write_answer& answer);
    actions give_up(common::failure why);
    actions close(record_state state, std::optional<kept_answer> answer);
    actions finish(action last);
    write_record current_write() const { return {m_expected, m_record}; }

    record m_record;
    attempt_options m_options;
    phase m_phase = phase::claiming;
    kv::revision m_expected = 0;
    common::timestamp m_begun;
    bool m_withdrawn = false;
    /// What the caller is told when the record is closed.
    std::optional<common::failure> m_refusal;
};

} // namespace kumquatgap::ledger
