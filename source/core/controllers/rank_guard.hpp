#pragma once

#include "controllers/map_switch_message.hpp"

namespace kumquatgap::controllers
{

/// The agent's part in switching a rank's expert map: it checks every order's number, since not
/// all engines do, and refuses orders until it has learnt the current one.
class rank_guard
{
public:
    explicit rank_guard(rank_number rank) : m_rank{rank} {}

    /// The store's current number was read after this agent's start.
    void learn_fence(fence_number current);
    bool is_ready() const { return m_ready; }

    /// Carries out an order on the engine's state and answers it.
    rank_reply take(const fenced_order& order, rank_report& engine);

    /// True when the engine may begin its next step.
    static bool may_begin_next(const rank_report& engine);
    /// The engine begins its next step; a committed map comes into force at its step.
    static void begin_next(rank_report& engine);

private:
    rank_number m_rank;
    fence_number m_fence = 0;
    bool m_ready = false;
};

} // namespace kumquatgap::controllers
