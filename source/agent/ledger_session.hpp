#pragma once

#include "ledger/attempt.hpp"

#include <functional>
#include <memory>
#include <string>

namespace kumquatgap::agent
{

class agent;

/// Callbacks from a ledger session to its exchange.
struct ledger_events
{
    /// The key is claimed: the call may be sent to the target.
    std::function<void()> on_run;
    std::function<void(const common::failure&)> on_refused;
    std::function<void(const ledger::stored_response&)> on_replay;
};

/// Carries out one attempt's ledger actions. It may outlive its exchange, until the attempt's
/// outcome is recorded.
class ledger_session : public std::enable_shared_from_this<ledger_session>
{
public:
    ledger_session(agent& owner, std::string store_key, ledger::attempt attempt,
                   ledger_events events);
    ledger_session(const ledger_session&) = delete;
    ledger_session& operator=(const ledger_session&) = delete;
    ~ledger_session();

    void begin();
    void responded(ledger::stored_response response);
    void not_delivered();
    void response_lost();
    /// Detaches the exchange's callbacks. Returns true when the call was not sent to the target and
    /// never will be.
    bool withdraw();

private:
    void carry_out(const ledger::actions& list);
    void write(const ledger::write_record& w);

    agent& m_agent;
    std::string m_key;
    ledger::attempt m_attempt;
    ledger_events m_events;
};

} // namespace kumquatgap::agent
