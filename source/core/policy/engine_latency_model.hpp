#pragma once

#include "common/clock.hpp"
#include "fleet/configuration.hpp"

namespace kumquatgap::policy
{

using common::milliseconds;

/// The margins and smoothing factors of an engine_latency_model.
struct engine_latency_options
{
    /// The fraction of the allowed event gap that a mean pass may take; single passes take longer.
    double mean_pass_fraction = 0.85;
    /// The smoothing factor of the measured pass time ratio: the weight of one pass, whose events
    /// all arrive at once.
    double ratio_weight = 0.25;
    /// The fraction of an engine's slots that is used however slow its passes are. With fewer
    /// streams, passes hardly get shorter, since the fixed cost of a step remains.
    double min_slot_fraction = 0.4;
    /// A slow engine is emptied when it causes at least this part of the time by which event gaps
    /// exceed the goal. Causes that last for one pass, such as a switch of maps, are much longer
    /// than what a slightly slow engine adds.
    double min_part_of_excess = 0.5;
    /// It must also add at least this part of the goal to each pass, since a stream that moves has
    /// a long gap itself.
    double min_part_of_goal = 0.25;
    /// The smoothing factor of the time to the first event, and the number of mean deviations that
    /// are added to it as a margin.
    double first_event_weight = 0.05;
    double first_event_deviations = 1;
    /// The time to the first event until one is measured: the time to read a usual prompt, and two
    /// passes.
    milliseconds initial_time_to_first_event{220};
    /// The cap on the measured pass time, in predicted passes: a longer gap is a stall and not a
    /// pass.
    double max_pass_time_ratio = 6;
};

/// Predicts how long a pass of an engine takes, and how many streams can share the engine within a
/// latency goal. Load pattern: more callers than a group of engines in lock-step can serve within
/// the goal. Each further stream on the fullest engine lengthens the passes of all engines, until
/// the event gaps of every stream exceed the goal. With fewer concurrent streams all are in time,
/// and the other calls wait or are refused.
///
/// The prediction from the published figures leaves out what differs from day to day (the most
/// loaded expert, prompts that are read at the same time, slow hosts). The measured ratio of actual
/// to predicted pass time, from the event gaps of all streams, accounts for it. The time to the
/// first event is measured too: under load, calls start as late as can still be in time, so an
/// estimate that is too low makes them all late.
class engine_latency_model
{
public:
    explicit engine_latency_model(engine_latency_options options = {}) : m_options{options} {}

    void set_engine(const fleet::engine_profile& it) { m_engine = it; }
    bool has_engine() const { return m_engine.steps_per_pass > 0 && m_engine.step_ms > 0; }
    /// The predicted time of a pass in milliseconds with `streams` streams on each engine, from the
    /// published figures only.
    double predicted_pass_ms(double streams) const;
    /// Records the time between an event of a stream and the event before it.
    void record_event_gap(milliseconds gap);
    /// Updates the pass time ratio from the gaps recorded since the last tick, with `streams`
    /// streams on each engine.
    void tick(double streams);
    /// The most streams that an engine may have at once so that event gaps stay within `max_gap`;
    /// at most its slots. 0 as `max_gap` means that gaps are not limited.
    double max_streams_for_gap(milliseconds max_gap) const;
    /// The most streams that a slow engine may have so that its passes take no longer than those of
    /// the other engines with their current streams. `slowdown` is its pass time relative to theirs
    /// with the same number of streams. May be 0.
    double max_streams_at_slowdown(double slowdown) const;
    /// True when a slow engine should be left without streams. `event_gap` is the gap that the
    /// streams of its group have now. The group waits for a slow engine as long as that has one
    /// stream, so this is true when the gap exceeds `max_gap`, the engine causes enough of it, and
    /// no further streams are sent to it either.
    bool should_empty(double slowdown, milliseconds event_gap, milliseconds max_gap) const;
    /// Records the time from sending a run to its engine until its first event.
    void record_first_event_latency(milliseconds after);
    /// The expected time to the first event of a run that is sent now, with a margin.
    milliseconds time_to_first_event() const;
    /// The predicted time for which a run with such a prompt and answer occupies a slot.
    milliseconds predicted_slot_time(double prompt_tokens, double answer_tokens) const;
    double usual_answer_tokens() const { return m_engine.usual_answer_tokens; }
    int steps_per_pass() const { return m_engine.steps_per_pass; }
    double pass_time_ratio() const { return m_pass_time_ratio; }

private:
    engine_latency_options m_options;
    fleet::engine_profile m_engine{.step_ms = 0};
    /// Measured over predicted time of a pass.
    double m_pass_time_ratio = 1;
    /// Streams on each engine at the last tick.
    double m_streams = 1;
    double m_first_event_ms =
        static_cast<double>(engine_latency_options{}.initial_time_to_first_event.count());
    double m_first_event_deviation_ms = 0;
    double m_gaps_ms = 0;
    int m_gaps = 0;
};

} // namespace kumquatgap::policy
