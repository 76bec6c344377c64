#include "ledger/attempt.hpp"

namespace kumquatgap::ledger
{

using common::failure;
using common::result_code;

attempt::attempt(std::string owner, std::string fingerprint, attempt_options options)
    : m_record{record_state::started, std::move(owner), std::move(fingerprint), std::nullopt},
      m_options{options}
{
}

actions attempt::begin(common::timestamp now)
{
    m_started_at = now;
    return {current_write()};
}

actions attempt::written(const common::result<kv::write_response>& response, common::timestamp now)
{
    if (m_phase != phase::claiming && m_phase != phase::closing)
        return {};
    if (m_phase == phase::closing)
        return close_written(response);
    if (m_withdrawn)
        return withdrawn_claim_written(response);
    if (!response)
        return claim_outcome_unknown(response.error(), now);
    if (!response.value().applied)
        return claim_refused(response.value());
    m_expected = response.value().as_of;
    m_phase = phase::running;
    return {run_call{}};
}

actions attempt::close_written(const common::result<kv::write_response>& response)
{
    actions out;
    // Whatever the outcome of the write, this attempt never runs the call, so the caller can be
    // refused now.
    if (auto refusal = std::exchange(m_refusal, std::nullopt))
        out.push_back(refuse_call{std::move(*refusal)});
    const auto follow_up = !response ? actions{retry_write{m_options.retry_pause, current_write()}}
                           : response.value().applied ? finish(discard_attempt{})
                                                      : close_refused(response.value());
    out.insert(out.end(), follow_up.begin(), follow_up.end());
    return out;
}

/// Handles a claim that the store refused because the key does not have the expected revision.
actions attempt::claim_refused(const kv::write_response& response)
{
    const auto& current = response.current.at(0);
    if (!current)
    {
        // The record that this claim was to replace has expired.
        m_expected = 0;
        return {current_write()};
    }
    const auto found = deserialize(current->value);
    if (!found)
        return finish(
            refuse_call{{result_code::ledger_unavailable, "the ledger's record is malformed"}});
    if (found->owner == m_record.owner && found->state == record_state::started)
    {
        // An earlier write was applied although its response was lost.
        m_expected = current->mod_revision;
        m_phase = phase::running;
        return {run_call{}};
    }
    return resolve_existing_record(*found, current->mod_revision);
}

actions attempt::resolve_existing_record(const record& found, kv::revision at_revision)
{
    if (found.state == record_state::withdrawn)
    {
        m_expected = at_revision;
        return {current_write()};
    }
    if (found.fingerprint != m_record.fingerprint)
        return finish(refuse_call{{result_code::key_reused, ""}});
    if (found.state == record_state::started)
        return finish(refuse_call{{result_code::in_progress, "", m_options.retry_after}});
    if (found.state == record_state::lost)
        return finish(
            refuse_call{{result_code::outcome_unknown, "an earlier attempt's answer was lost"}});
    if (!found.answer || !found.answer->has_body)
        return finish(refuse_call{{result_code::answer_not_kept, ""}});
    return finish(replay_response{*found.answer});
}

/// Handles a claim that may have been applied, or may still be applied.
actions attempt::claim_outcome_unknown(const failure& why, common::timestamp now)
{
    if (now - m_started_at < m_options.claim_timeout)
        return {retry_write{m_options.retry_pause, current_write()}};
    return abandon({result_code::ledger_unavailable, why.detail, m_options.retry_after});
}

/// Handles the outcome of a claim whose call was withdrawn: frees the key if the claim was applied.
actions attempt::withdrawn_claim_written(const common::result<kv::write_response>& response)
{
    if (response && response.value().applied)
        m_expected = response.value().as_of;
    auto out = close(record_state::withdrawn, std::nullopt);
    if (!response)
        return {retry_write{m_options.retry_pause, current_write()}};
    return response.value().applied ? std::move(out) : close_refused(response.value());
}

/// Refuses the call, which will never run, and marks the record as withdrawn.
actions attempt::abandon(failure why)
{
    actions out{refuse_call{std::move(why)}};
    const auto follow_up = close(record_state::withdrawn, std::nullopt);
    out.insert(out.end(), follow_up.begin(), follow_up.end());
    return out;
}

/// Handles a close that the store refused because the key does not have the expected revision.
actions attempt::close_refused(const kv::write_response& response)
{
    const auto& current = response.current.at(0);
    if (!current)
    {
        // A late claim could still be applied to the absent key, so a withdrawn record must be
        // written first. The record of a call that ran may be missing because the store was
        // restored from a copy.
        if (m_expected == 0)
            return finish(discard_attempt{});
        m_expected = 0;
        return {current_write()};
    }
    const auto found = deserialize(current->value);
    const bool is_own_record =
        found && found->owner == m_record.owner && found->state != m_record.state;
    if (!is_own_record)
        return finish(discard_attempt{});
    m_expected = current->mod_revision;
    return {current_write()};
}

actions attempt::responded(stored_response response)
{
    if (m_phase != phase::running)
        return {};
    if (response.body.size() > max_stored_body_bytes)
    {
        response.body.clear();
        response.has_body = false;
    }
    return close(record_state::done, std::move(response));
}

actions attempt::not_delivered()
{
    if (m_phase != phase::running)
        return {};
    m_refusal = failure{result_code::target_unreachable, ""};
    return close(record_state::withdrawn, std::nullopt);
}

actions attempt::response_lost()
{
    return m_phase == phase::running ? close(record_state::lost, std::nullopt) : actions{};
}

bool attempt::withdraw()
{
    // A claim is always in progress in this phase; its outcome decides the next step.
    m_withdrawn = m_withdrawn || m_phase == phase::claiming;
    return m_withdrawn;
}

actions attempt::close(record_state state, std::optional<stored_response> response)
{
    m_phase = phase::closing;
    m_record.state = state;
    m_record.answer = std::move(response);
    return {current_write()};
}

actions attempt::finish(action last)
{
    m_phase = phase::finished;
    actions out{std::move(last)};
    if (!std::holds_alternative<discard_attempt>(out.front()))
        out.emplace_back(discard_attempt{});
    return out;
}

} // namespace kumquatgap::ledger
