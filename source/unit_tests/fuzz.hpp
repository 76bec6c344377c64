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

/// The worlds hold their own oracle, so RapidCheck's model has nothing to say.
struct no_model
{
};

/// One step of a world: which kind, and two numbers that choose what it acts on.
template <class World>
struct world_step : rc::state::Command<no_model, World>
{
    std::size_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;

    void run(const no_model& /*model*/, World& world) const override { world.step(kind, a, b); }
    void show(std::ostream& os) const override
    {
        os << World::step_names[kind] << "(" << a << ", " << b << ")";
    }
};

/// Generates steps of all kinds; the numbers are small, so that steps meet.
template <class World>
auto any_step()
{
    return [](const no_model&)
    {
        constexpr std::uint32_t most = 6;
        return rc::gen::map(
            rc::gen::tuple(rc::gen::inRange<std::size_t>(0, World::step_names.size()),
                           rc::gen::inRange<std::uint32_t>(0, most),
                           rc::gen::inRange<std::uint32_t>(0, most)),
            [](const auto& it) -> std::shared_ptr<const rc::state::Command<no_model, World>>
            {
                auto out = std::make_shared<world_step<World>>();
                std::tie(out->kind, out->a, out->b) = it;
                return out;
            });
    };
}

/// Runs random steps against fresh worlds and lets each one settle; true when no oracle objected.
/// RC_PARAMS in the environment sets seed and count.
template <class World, class... Options>
bool holds(bool report, const Options&... options)
{
    auto params = rc::detail::configuration().testParams;
    // Where a failure is expected, it need not be made small.
    params.disableShrinking = !report;
    const auto result = rc::detail::checkTestable(
        [&]
        {
            World world{options...};
            rc::state::check(no_model{}, world, any_step<World>());
            world.settle();
        },
        rc::detail::TestMetadata{}, params);
    const bool is_success = result.template is<rc::detail::SuccessResult>();
    if (!is_success && report)
        rc::detail::printResultMessage(result, std::cerr);
    return is_success;
}

} // namespace kumquatgap::fuzz
