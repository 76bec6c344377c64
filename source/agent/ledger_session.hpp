#pragma once

#include "ledger/attempt.hpp"

#include <functional>
#include <memory>
#include <string>

namespace kumquatgap::agent
{

class agent;

/// What a ledger session tells the exchange it belongs to.
struct ledger_events
{
    /// The key is owned: hand the call to the target.
    std::function<void()> on_run;
    std::function<void(const common::failure&)> on_refused;
    std::function<void(const ledger::stored_response&)> on_replay;
};

/// Carries out one attempt's ledger actions. It lives on after its exchange until the record says
/// how the attempt ended.
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
    /// Returns true when the call was not handed over and never will be.
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
