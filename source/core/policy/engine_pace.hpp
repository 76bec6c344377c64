#pragma once

#include "common/clock.hpp"
#include "fleet/configuration.hpp"

namespace kumquatgap::policy
{

using common::milliseconds;

/// The margins of an engine pace.
struct engine_pace_options
{
    /// The part of the allowed pause that a mean pass may take; single passes take longer.
    double used_part = 0.85;
    /// How fast the measured factor follows: the weight of one pass, whose events all come at once.
    double weight = 0.25;
    /// The part of an engine's slots that is used however slow its passes are. Below it passes
    /// get hardly shorter, since the fixed part of a step remains.
    double least_part = 0.4;
    /// How fast the time to the first event follows, and how many mean deviations are kept as a
    /// margin.
    double first_event_weight = 0.05;
    double deviations = 1;
    /// The time to the first event while none was measured: reading a usual prompt, and two passes.
    milliseconds first_event_at_start{220};
    /// A pause that is longer than this many predicted passes is a stall and not a pass.
    double most_passes = 6;
};

/// Predicts how long a pass of an engine takes, and how many streams may share it. Load pattern:
/// more callers than a group of engines in lock-step can serve at its pace. Each further stream at
/// the fullest engine lengthens the passes of all, until every stream of the group pauses for
/// longer than is allowed; fewer at once are all in time, and the others wait or are refused.
///
/// The prediction from the published figures leaves out what differs from day to day (the most
/// loaded expert, prompts read beside, slow hosts); a factor that is measured from the pauses
/// between the events of all streams stands for that. The time to the first event is measured
/// too: under load, calls start as late as can still be in time, so a guess makes them all late.
class engine_pace
{
public:
    explicit engine_pace(engine_pace_options options = {}) : m_options{options} {}

    void set_engine(const fleet::engine_profile& it) { m_engine = it; }
    bool has_engine() const { return m_engine.steps_per_pass > 0 && m_engine.step_ms > 0; }
    /// Milliseconds of a pass with so many streams at each engine, by the published figures.
    double predicted_pass_ms(double streams) const;
    /// A stream has had an event, this long after the one before it.
    void note_pause(milliseconds pause);
    /// Takes in what was measured since the last tick, with so many streams at each engine.
    void tick(double streams);
    /// How many streams an engine may have at once so that they pause for no longer than this; at
    /// most its slots.
    double streams_within(milliseconds longest_pause) const;
    /// How many streams an engine that is slower than the others may have, so that it takes no
    /// longer for a pass than they do with the streams that they have now. May be 0.
    double streams_of_slow(double pace) const;
    /// A run has had its first event, this long after it was sent to its engine.
    void note_first_event(milliseconds after);
    /// How long a run that is sent now usually takes to its first event, with a margin.
    milliseconds first_event_time() const;
    double factor() const { return m_factor; }

private:
    engine_pace_options m_options;
    fleet::engine_profile m_engine{.step_ms = 0};
    /// Measured over predicted time of a pass.
    double m_factor = 1;
    /// Streams at each engine at the last tick.
    double m_streams = 1;
    double m_first_event_ms =
        static_cast<double>(engine_pace_options{}.first_event_at_start.count());
    double m_first_event_deviation_ms = 0;
    double m_pauses_ms = 0;
    int m_pauses = 0;
};

} // namespace kumquatgap::policy
