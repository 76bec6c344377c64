#include "agent/ledger_session.hpp"

#include "agent/agent.hpp"

namespace kumquatgap::agent
{

ledger_session::ledger_session(agent& owner, std::string store_key, ledger::attempt attempt,
                               ledger_events events)
    : m_agent{owner}, m_key{std::move(store_key)}, m_attempt{std::move(attempt)}, m_events{
                                                                                      std::move(
                                                                                          events)}
{
    m_agent.ledger_work_begun();
}

ledger_session::~ledger_session()
{
    m_agent.ledger_work_ended();
}

void ledger_session::begin()
{
    carry_out(m_attempt.begin(common::now()));
}

void ledger_session::answered(ledger::kept_answer answer)
{
    carry_out(m_attempt.answered(std::move(answer)));
}

void ledger_session::unreached()
{
    carry_out(m_attempt.unreached());
}

void ledger_session::answer_lost()
{
    carry_out(m_attempt.answer_lost());
}

bool ledger_session::withdraw()
{
    m_events = {};
    return m_attempt.withdraw();
}

void ledger_session::write(const ledger::write_record& w)
{
    m_agent.ledger().write(m_key, w.expected, ledger::to_stored(w.value),
                           [self = shared_from_this()](const auto& answer)
                           { self->carry_out(self->m_attempt.written(answer, common::now())); });
}

void ledger_session::carry_out(const ledger::actions& list)
{
    struct visitor
    {
        ledger_session& session;

        void operator()(const ledger::write_record& a) const { session.write(a); }
        void operator()(const ledger::write_later& a) const
        {
            // The timer owns itself through the closure that it runs.
            auto handle = std::make_shared<io::timer_handle>();
            *handle = session.m_agent.loop().after(
                a.pause,
                [self = session.shared_from_this(), handle, w = a.write]
                {
                    handle->reset();
                    self->write(w);
                });
        }
        void operator()(const ledger::run_call&) const
        {
            if (session.m_events.on_run)
                session.m_events.on_run();
        }
        void operator()(const ledger::refuse_call& a) const
        {
            if (session.m_events.on_refused)
                session.m_events.on_refused(a.why);
        }
        void operator()(const ledger::replay_answer& a) const
        {
            if (session.m_events.on_replay)
                session.m_events.on_replay(a.answer);
        }
        void operator()(const ledger::forget_attempt&) const { session.m_events = {}; }
    };
    for (const auto& it : list)
        std::visit(visitor{*this}, it);
}

} // namespace kumquatgap::agent
