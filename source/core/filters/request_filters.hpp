#pragma once

#include "common/failure.hpp"
#include "common/trace.hpp"
#include "config/view.hpp"
#include "io/http_server.hpp"
#include "policy/call_plan.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquatgap::filters
{

/// What the filters know about the router when a request arrives.
struct filter_environment
{
    const config::view& resources;
    bool is_ready = false;
    bool is_draining = false;
    bool is_full = false;
    int minute_of_day = 0;
    /// The time that an engine is expected to take for a token.
    common::milliseconds per_token{10};
};

/// A caller's request on its way through the filters.
struct request_context
{
    io::received_request received;
    common::span hop;

    const config::team* team = nullptr;
    const config::service* service = nullptr;
    std::int64_t level = 0;
    /// True when the answer is a stream of events.
    bool streams = false;
    common::milliseconds predicted{0};
    policy::retry_rule rule = policy::retry_rule::at_most_once;
    std::string idempotency_key;
    /// The parsed body of a model call.
    nlohmann::json body;
};

/// Refuses everything while the router has no configuration, is full or is shutting down.
struct check_router
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Refuses requests that broke a limit while they were read.
struct check_limits
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Finds the team by its bearer token.
struct identify_team
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Finds the service by model or path, and reads what the call asks of it.
struct classify_call
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Decides how the call may be repeated and requires a key where it must not run twice.
struct check_repeat
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

using filter = std::variant<check_router, check_limits, identify_team, classify_call, check_repeat>;

/// The router's chain, in order.
const std::vector<filter>& default_chain();

/// Runs a request through a chain; the first refusal ends it.
std::optional<common::failure> run_chain(const std::vector<filter>& chain, request_context& c,
                                         const filter_environment& env);

} // namespace kumquatgap::filters
