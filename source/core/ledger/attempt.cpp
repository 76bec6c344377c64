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

actions attempt::begin(common::timestamp at)
{
    m_begun = at;
    return {current_write()};
}

actions attempt::written(const common::result<kv::write_answer>& answer, common::timestamp at)
{
    if (m_phase != phase::claiming && m_phase != phase::closing)
        return {};
    if (m_phase == phase::closing)
        return closed(answer);
    if (m_withdrawn)
        return withdrawn_claim(answer);
    if (!answer)
        return claim_uncertain(answer.error(), at);
    if (!answer.value().applied)
        return claim_refused(answer.value());
    m_expected = answer.value().as_of;
    m_phase = phase::running;
    return {run_call{}};
}

actions attempt::closed(const common::result<kv::write_answer>& answer)
{
    actions out;
    // Whatever became of the write, this attempt never runs; the caller waits no longer.
    if (auto refusal = std::exchange(m_refusal, std::nullopt))
        out.push_back(refuse_call{std::move(*refusal)});
    const auto more = !answer ? actions{write_later{m_options.retry_pause, current_write()}}
                      : answer.value().applied ? finish(forget_attempt{})
                                               : close_refused(answer.value());
    out.insert(out.end(), more.begin(), more.end());
    return out;
}

/// The key is not at the expected revision.
actions attempt::claim_refused(const kv::write_answer& answer)
{
    const auto& current = answer.current.at(0);
    if (!current)
    {
        // The record that this claim meant to replace has expired.
        m_expected = 0;
        return {current_write()};
    }
    const auto found = from_stored(current->value);
    if (!found)
        return finish(
            refuse_call{{result_code::ledger_unavailable, "the ledger's record is malformed"}});
    if (found->owner == m_record.owner && found->state == record_state::started)
    {
        // An earlier write took effect although its answer was lost.
        m_expected = current->modified;
        m_phase = phase::running;
        return {run_call{}};
    }
    return claim_meets(*found, current->modified);
}

actions attempt::claim_meets(const record& found, kv::revision at_revision)
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
    return finish(replay_answer{*found.answer});
}

/// The claim may have taken effect, or may still do so.
actions attempt::claim_uncertain(const failure& why, common::timestamp at)
{
    if (at - m_begun < m_options.claim_timeout)
        return {write_later{m_options.retry_pause, current_write()}};
    return give_up({result_code::ledger_unavailable, why.detail, m_options.retry_after});
}

/// The claim of a withdrawn call was answered: free the key if the claim has taken it.
actions attempt::withdrawn_claim(const common::result<kv::write_answer>& answer)
{
    if (answer && answer.value().applied)
        m_expected = answer.value().as_of;
    auto out = close(record_state::withdrawn, std::nullopt);
    if (!answer)
        return {write_later{m_options.retry_pause, current_write()}};
    return answer.value().applied ? std::move(out) : close_refused(answer.value());
}

/// Refuses the call, which never runs now, and makes the record say so.
actions attempt::give_up(failure why)
{
    actions out{refuse_call{std::move(why)}};
    const auto more = close(record_state::withdrawn, std::nullopt);
    out.insert(out.end(), more.begin(), more.end());
    return out;
}

/// The record did not have the expected revision when it was to be closed.
actions attempt::close_refused(const kv::write_answer& answer)
{
    const auto& current = answer.current.at(0);
    if (!current)
    {
        // A late claim could still land on the absent key, so a withdrawal must stand there first.
        if (m_record.state != record_state::withdrawn || m_expected == 0)
            return finish(forget_attempt{});
        m_expected = 0;
        return {current_write()};
    }
    const auto found = from_stored(current->value);
    const bool own = found && found->owner == m_record.owner && found->state != m_record.state;
    if (!own)
        return finish(forget_attempt{});
    m_expected = current->modified;
    return {current_write()};
}

actions attempt::answered(kept_answer answer)
{
    if (m_phase != phase::running)
        return {};
    if (answer.body.size() > max_kept_body_bytes)
    {
        answer.body.clear();
        answer.has_body = false;
    }
    return close(record_state::done, std::move(answer));
}

actions attempt::unreached()
{
    if (m_phase != phase::running)
        return {};
    m_refusal = failure{result_code::target_unreachable, ""};
    return close(record_state::withdrawn, std::nullopt);
}

actions attempt::answer_lost()
{
    return m_phase == phase::running ? close(record_state::lost, std::nullopt) : actions{};
}

bool attempt::withdraw()
{
    // A claim is always under way in this phase; what becomes of it decides how to go on.
    m_withdrawn = m_withdrawn || m_phase == phase::claiming;
    return m_withdrawn;
}

actions attempt::close(record_state state, std::optional<kept_answer> answer)
{
    m_phase = phase::closing;
    m_record.state = state;
    m_record.answer = std::move(answer);
    return {current_write()};
}

actions attempt::finish(action last)
{
    m_phase = phase::finished;
    actions out{std::move(last)};
    if (!std::holds_alternative<forget_attempt>(out.front()))
        out.emplace_back(forget_attempt{});
    return out;
}

} // namespace kumquatgap::ledger
