#pragma once

#include "common/clock.hpp"
#include "config/resource.hpp"
#include "kv/store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquatgap::config
{

/// Read all replicated keys at one revision, then call read_finished().
struct read_resources
{
};

/// Carry out the transaction after a pause, then call written().
struct write_transaction
{
    kv::transaction transaction;
    common::milliseconds pause{0};
};

/// The write was accepted at this revision.
struct write_accepted
{
    kv::revision version = 0;
};

/// The write was refused, or its outcome is not known.
struct write_refused
{
    common::failure why;
};

using write_step = std::variant<read_resources, write_transaction, write_accepted, write_refused>;

/// One write or deletion of a resource by an operator.
///
/// Every accepted change also writes the head key, whose revision each write guards. So a resource
/// is only accepted if no other resource has changed since it was checked against them. A write
/// whose response was lost is retried; the writer's token in the stored value shows whether the
/// earlier try was applied.
class resource_write
{
public:
    /// Writes r if the stored resource still has r.version.
    static resource_write put(resource r);
    /// Deletes the resource if the stored one still has this version.
    static resource_write erase(kind k, std::string name, kv::revision version);

    write_step begin(common::timestamp now);
    write_step read_finished(const common::result<kv::range_response>& response,
                             common::timestamp now);
    write_step written(const common::result<kv::write_response>& response, common::timestamp now);

private:
    resource_write(resource r, bool is_erase) : m_resource{std::move(r)}, m_is_erase{is_erase} {}
    std::string find_violation(const std::vector<resource>& others) const;
    write_step outcome_unknown(const common::failure& why, common::timestamp now);
    write_step not_applied(const kv::write_response& response, common::timestamp now);

    resource m_resource;
    bool m_is_erase;
    bool m_may_have_been_applied = false;
    kv::transaction m_transaction;
    common::timestamp m_started_at;
};

} // namespace kumquatgap::config
