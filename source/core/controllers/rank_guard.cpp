#include "controllers/rank_guard.hpp"

#include <algorithm>

namespace kumquatgap::controllers
{

namespace
{

/// Carries out an order whose number has been checked.
struct order_runner
{
    rank_report& engine;

    rank_answer operator()(const ask_rank&) const { return rank_answer::done; }
    rank_answer operator()(const prepare_map&) const { return rank_answer::done; }

    rank_answer operator()(const arm_map& it) const
    {
        if (engine.active == it.version)
            return rank_answer::done;
        const bool has_promised = engine.pending && engine.pending->version == it.version;
        if (has_promised)
            return rank_answer::done;
        if (engine.pending || engine.step >= it.from)
            return rank_answer::too_late;
        engine.pending = pending_map{it.version, it.from, false};
        return rank_answer::done;
    }

    rank_answer operator()(const commit_map& it) const
    {
        if (engine.pending && engine.pending->version == it.version)
            engine.pending->committed = true;
        return rank_answer::done;
    }

    rank_answer operator()(const abort_map& it) const
    {
        if (engine.pending && engine.pending->version == it.version && !engine.pending->committed)
            engine.pending.reset();
        return rank_answer::done;
    }
};

} // namespace

void rank_guard::learn_fence(fence_number current)
{
    m_fence = std::max(m_fence, current);
    m_ready = true;
}

rank_reply rank_guard::take(const fenced_order& order, rank_report& engine)
{
    rank_reply out{m_rank, order.fence, order.order, rank_answer::done, engine};
    if (!m_ready)
        out.answer = rank_answer::not_ready;
    else if (order.fence < m_fence)
        out.answer = rank_answer::stale;
    else
    {
        m_fence = order.fence;
        out.answer = std::visit(order_runner{engine}, order.order);
        out.report = engine;
    }
    return out;
}

bool rank_guard::may_begin_next(const rank_report& engine)
{
    return !engine.pending || engine.pending->committed || engine.step + 1 < engine.pending->from;
}

void rank_guard::begin_next(rank_report& engine)
{
    ++engine.step;
    if (!engine.pending || !engine.pending->committed || engine.step < engine.pending->from)
        return;
    engine.active = engine.pending->version;
    engine.pending.reset();
}

} // namespace kumquatgap::controllers
