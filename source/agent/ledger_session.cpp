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
    m_agent.ledger_session_started();
}

ledger_session::~ledger_session()
{
    m_agent.ledger_session_ended();
}

void ledger_session::begin()
{
    carry_out(m_attempt.begin(common::now()));
}

void ledger_session::responded(ledger::stored_response response)
{
    carry_out(m_attempt.responded(std::move(response)));
}

void ledger_session::not_delivered()
{
    carry_out(m_attempt.not_delivered());
}

void ledger_session::response_lost()
{
    carry_out(m_attempt.response_lost());
}

bool ledger_session::withdraw()
{
    m_events = {};
    return m_attempt.withdraw();
}

void ledger_session::write(const ledger::write_record& w)
{
    const bool says_run = w.value.state != ledger::record_state::withdrawn;
    m_agent.ledger().write(m_key, w.expected, ledger::serialize(w.value), says_run,
                           [self = shared_from_this()](const auto& response)
                           { self->carry_out(self->m_attempt.written(response, common::now())); });
}

void ledger_session::carry_out(const ledger::actions& list)
{
    struct visitor
    {
        ledger_session& session;

        void operator()(const ledger::write_record& a) const { session.write(a); }
        void operator()(const ledger::retry_write& a) const
        {
            // The callback owns the timer's handle, so the timer lives until it fires.
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
        void operator()(const ledger::replay_response& a) const
        {
            if (session.m_events.on_replay)
                session.m_events.on_replay(a.response);
        }
        void operator()(const ledger::discard_attempt&) const { session.m_events = {}; }
    };
    for (const auto& it : list)
        std::visit(visitor{*this}, it);
}

} // namespace kumquatgap::agent
