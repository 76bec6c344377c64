#pragma once

#include "common/failure.hpp"
#include "common/trace.hpp"
#include "config/view.hpp"
#include "io/http_server.hpp"
#include "policy/retry_state.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquatgap::filters
{

/// State of the router at a request's arrival, as the filters need it.
struct filter_environment
{
    const config::view& resources;
    bool is_ready = false;
    bool is_draining = false;
    bool is_full = false;
    int minute_of_day = 0;
    /// Expected time of an engine for one completion token.
    common::milliseconds per_token{10};
};

/// A caller's request and what the filters found out about it.
struct request_context
{
    io::received_request received;
    common::span hop;

    const config::team* team = nullptr;
    const config::service* service = nullptr;
    std::int64_t level = 0;
    /// True when the response is a stream of events.
    bool streams = false;
    common::milliseconds predicted{0};
    policy::retry_rule rule = policy::retry_rule::at_most_once;
    std::string idempotency_key;
    /// The parsed body of a model call.
    nlohmann::json body;
};

/// Refuses all requests while the router has no configuration, is full or is draining.
struct check_router_state
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Refuses requests whose headers or body exceeded a size limit.
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

/// Finds the service by model or path; sets the call's priority level and predicted time.
struct classify_call
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

/// Sets the call's retry rule and requires an idempotency key for at-most-once calls.
struct set_retry_rule
{
    std::optional<common::failure> operator()(request_context& c,
                                              const filter_environment& env) const;
};

using filter =
    std::variant<check_router_state, check_limits, identify_team, classify_call, set_retry_rule>;

/// The router's filters, in order.
const std::vector<filter>& default_chain();

/// Runs the filters in order and returns the first refusal.
std::optional<common::failure> run_chain(const std::vector<filter>& chain, request_context& c,
                                         const filter_environment& env);

} // namespace kumquatgap::filters
