#include "policy/engine_latency_model.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::policy
{

namespace
{

constexpr double per_thousand = 1000;

/// Milliseconds by which one more stream lengthens a step.
double step_ms_per_stream(const fleet::engine_profile& it)
{
    // On average, half of a stream's tokens have been generated.
    const auto context = it.usual_prompt_tokens + it.usual_answer_tokens / 2;
    return it.step_ms_per_stream + it.step_ms_per_thousand_context * context / per_thousand;
}

} // namespace

double engine_latency_model::predicted_pass_ms(double streams) const
{
    return m_engine.steps_per_pass * (m_engine.step_ms + step_ms_per_stream(m_engine) * streams);
}

milliseconds engine_latency_model::predicted_slot_time(double prompt_tokens,
                                                       double answer_tokens) const
{
    constexpr double ms_per_s = 1000;
    // The measured time to the first event includes the reading of a usual prompt.
    const auto more_prompt = prompt_tokens - m_engine.usual_prompt_tokens;
    const auto reading_ms = prompt_tokens > 0 && m_engine.prompt_tokens_per_s > 0
                                ? more_prompt / m_engine.prompt_tokens_per_s * ms_per_s
                                : 0;
    const auto passes = std::max(0.0, answer_tokens) / m_engine.steps_per_pass;
    const auto ms = std::max(0.0, m_first_event_ms + reading_ms) +
                    passes * predicted_pass_ms(m_streams) * m_pass_time_ratio;
    // A day bounds the result for absurd numbers of tokens.
    constexpr double max_ms = 86'400'000;
    return milliseconds{std::llround(std::min(ms, max_ms))};
}

void engine_latency_model::record_event_gap(milliseconds gap)
{
    m_gaps_ms += static_cast<double>(gap.count());
    ++m_gaps;
}

double engine_latency_model::max_streams_at_slowdown(double slowdown) const
{
    const auto slots = static_cast<double>(m_engine.slots);
    const auto per_stream = m_engine.steps_per_pass * step_ms_per_stream(m_engine);
    if (!has_engine() || slowdown <= 1 || per_stream == 0)
        return slots;
    const auto pass_ms = predicted_pass_ms(m_streams) / slowdown;
    return std::clamp((pass_ms - m_engine.steps_per_pass * m_engine.step_ms) / per_stream, 0.0,
                      slots);
}

bool engine_latency_model::should_empty(double slowdown, milliseconds event_gap,
                                        milliseconds max_gap) const
{
    if (!has_engine() || slowdown <= 1 || max_gap.count() == 0 || event_gap <= max_gap)
        return false;
    const auto added_ms = slowdown * predicted_pass_ms(1) - predicted_pass_ms(m_streams);
    const auto goal_ms = static_cast<double>(max_gap.count());
    const auto excess_ms = static_cast<double>((event_gap - max_gap).count());
    return added_ms >= m_options.min_part_of_goal * goal_ms &&
           added_ms >= m_options.min_part_of_excess * excess_ms &&
           max_streams_at_slowdown(slowdown) == 0;
}

void engine_latency_model::record_first_event_latency(milliseconds after)
{
    const auto difference = static_cast<double>(after.count()) - m_first_event_ms;
    m_first_event_ms += m_options.first_event_weight * difference;
    m_first_event_deviation_ms +=
        m_options.first_event_weight * (std::abs(difference) - m_first_event_deviation_ms);
}

milliseconds engine_latency_model::time_to_first_event() const
{
    return milliseconds{static_cast<std::int64_t>(
        m_first_event_ms + m_options.first_event_deviations * m_first_event_deviation_ms)};
}

void engine_latency_model::tick(double streams)
{
    m_streams = std::max(1.0, streams);
    if (m_gaps == 0 || !has_engine())
        return;
    const auto measured = m_gaps_ms / m_gaps / predicted_pass_ms(streams);
    m_gaps_ms = 0;
    m_gaps = 0;
    m_pass_time_ratio += m_options.ratio_weight *
                         (std::min(measured, m_options.max_pass_time_ratio) - m_pass_time_ratio);
}

double engine_latency_model::max_streams_for_gap(milliseconds max_gap) const
{
    const auto slots = static_cast<double>(m_engine.slots);
    const auto per_stream = m_engine.steps_per_pass * step_ms_per_stream(m_engine);
    if (!has_engine() || max_gap.count() == 0 || per_stream == 0)
        return slots;
    const auto pass_ms =
        m_options.mean_pass_fraction * static_cast<double>(max_gap.count()) / m_pass_time_ratio;
    const auto n = (pass_ms - m_engine.steps_per_pass * m_engine.step_ms) / per_stream;
    return std::clamp(n, slots * m_options.min_slot_fraction, slots);
}

} // namespace kumquatgap::policy
