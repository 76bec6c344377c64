#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <ostream>
#include <string_view>

namespace kumquatgap::fuzz
{

/// An empty model for RapidCheck, since the simulated systems check their own invariants.
struct no_model
{
};

/// One step of a simulated system: its kind, and two numbers that select what it acts on.
template <class System>
struct simulation_step : rc::state::Command<no_model, System>
{
    std::size_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;

    void run(const no_model& /*model*/, System& system) const override { system.step(kind, a, b); }
    void show(std::ostream& os) const override
    {
        os << System::step_names[kind] << "(" << a << ", " << b << ")";
    }
};

/// Generates steps of all kinds. The numbers are small, so that steps often act on the same
/// objects.
template <class System>
auto arbitrary_step()
{
    return [](const no_model&)
    {
        constexpr std::uint32_t index_limit = 6;
        return rc::gen::map(
            rc::gen::tuple(rc::gen::inRange<std::size_t>(0, System::step_names.size()),
                           rc::gen::inRange<std::uint32_t>(0, index_limit),
                           rc::gen::inRange<std::uint32_t>(0, index_limit)),
            [](const auto& it) -> std::shared_ptr<const rc::state::Command<no_model, System>>
            {
                auto out = std::make_shared<simulation_step<System>>();
                std::tie(out->kind, out->a, out->b) = it;
                return out;
            });
    };
}

/// Runs random steps on new simulated systems and calls settle() at the end of each run; true when
/// no invariant was violated. A violation is printed if print_violation is set. RC_PARAMS in the
/// environment sets the seed and the number of runs.
template <class System, class... Options>
bool holds(bool print_violation, const Options&... options)
{
    auto params = rc::detail::configuration().testParams;
    // An expected failure need not be shrunk to a minimal case.
    params.disableShrinking = !print_violation;
    const auto result = rc::detail::checkTestable(
        [&]
        {
            System system{options...};
            rc::state::check(no_model{}, system, arbitrary_step<System>());
            system.settle();
        },
        rc::detail::TestMetadata{}, params);
    const bool is_success = result.template is<rc::detail::SuccessResult>();
    if (!is_success && print_violation)
        rc::detail::printResultMessage(result, std::cerr);
    return is_success;
}

} // namespace kumquatgap::fuzz
