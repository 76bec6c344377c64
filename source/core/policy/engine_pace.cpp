#include "policy/engine_pace.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::policy
{

namespace
{

constexpr double per_thousand = 1000;

/// Milliseconds that one more stream adds to a step.
double step_ms_per_stream(const fleet::engine_profile& it)
{
    // A stream is half written on average.
    const auto context = it.usual_prompt_tokens + it.usual_answer_tokens / 2;
    return it.step_ms_per_stream + it.step_ms_per_thousand_context * context / per_thousand;
}

} // namespace

double engine_pace::predicted_pass_ms(double streams) const
{
    return m_engine.steps_per_pass * (m_engine.step_ms + step_ms_per_stream(m_engine) * streams);
}

void engine_pace::note_pause(milliseconds pause)
{
    m_pauses_ms += static_cast<double>(pause.count());
    ++m_pauses;
}

double engine_pace::streams_of_slow(double pace) const
{
    const auto slots = static_cast<double>(m_engine.slots);
    const auto per_stream = m_engine.steps_per_pass * step_ms_per_stream(m_engine);
    if (!has_engine() || pace <= 1 || per_stream == 0)
        return slots;
    const auto pass_ms = predicted_pass_ms(m_streams) / pace;
    return std::clamp((pass_ms - m_engine.steps_per_pass * m_engine.step_ms) / per_stream, 0.0,
                      slots);
}

void engine_pace::note_first_event(milliseconds after)
{
    const auto difference = static_cast<double>(after.count()) - m_first_event_ms;
    m_first_event_ms += m_options.first_event_weight * difference;
    m_first_event_deviation_ms +=
        m_options.first_event_weight * (std::abs(difference) - m_first_event_deviation_ms);
}

milliseconds engine_pace::first_event_time() const
{
    return milliseconds{static_cast<std::int64_t>(
        m_first_event_ms + m_options.deviations * m_first_event_deviation_ms)};
}

void engine_pace::tick(double streams)
{
    m_streams = std::max(1.0, streams);
    if (m_pauses == 0 || !has_engine())
        return;
    const auto measured = m_pauses_ms / m_pauses / predicted_pass_ms(streams);
    m_pauses_ms = 0;
    m_pauses = 0;
    m_factor += m_options.weight * (std::min(measured, m_options.most_passes) - m_factor);
}

double engine_pace::streams_within(milliseconds longest_pause) const
{
    const auto slots = static_cast<double>(m_engine.slots);
    const auto per_stream = m_engine.steps_per_pass * step_ms_per_stream(m_engine);
    if (!has_engine() || longest_pause.count() == 0 || per_stream == 0)
        return slots;
    const auto pass_ms =
        m_options.used_part * static_cast<double>(longest_pause.count()) / m_factor;
    const auto n = (pass_ms - m_engine.steps_per_pass * m_engine.step_ms) / per_stream;
    return std::clamp(n, slots * m_options.least_part, slots);
}

} // namespace kumquatgap::policy
