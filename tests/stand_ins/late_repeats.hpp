#pragma once

#include "scripted_target.hpp"

#include <map>
#include <string>

namespace kumquatgap::stand_ins
{

/// Sends some responses of a target a second time, late: on the same connection, right before the
/// response to its next request.
class late_repeats
{
public:
    /// Repeats the response when the next request arrives on its connection.
    void plan(const scripted_target::reply& out, std::string response);
    /// Sends the response that is due on the connection of a request that has just arrived, if any.
    void send_due(const scripted_target::reply& out);
    int sent() const { return m_sent; }

private:
    struct by_connection
    {
        bool operator()(const scripted_target::reply& a, const scripted_target::reply& b) const
        {
            return a.connection.owner_before(b.connection);
        }
    };

    std::map<scripted_target::reply, std::string, by_connection> m_due;
    int m_sent = 0;
};

} // namespace kumquatgap::stand_ins
