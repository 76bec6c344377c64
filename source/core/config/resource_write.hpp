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

/// Read all followed keys at one revision, then call resources_read().
struct read_resources
{
};

/// Carry out the transaction after a pause, then call written().
struct write_transaction
{
    kv::transaction what;
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

/// One operator's write or deletion of a resource.
///
/// Every accepted change also moves the head key, which each write guards: so a resource is only
/// ever accepted against exactly the resources it was checked against. A write whose answer was
/// lost is repeated, and the writer's token in the stored value tells whether it took effect.
class resource_write
{
public:
    /// Writes r if the stored resource still has r.version.
    static resource_write put(resource r);
    /// Deletes the resource if it still has this version.
    static resource_write erase(kind k, std::string name, kv::revision version);

    write_step begin(common::timestamp at);
    write_step resources_read(const common::result<kv::range_answer>& answer, common::timestamp at);
    write_step written(const common::result<kv::write_answer>& answer, common::timestamp at);

private:
    resource_write(resource r, bool erases) : m_resource{std::move(r)}, m_erases{erases} {}
    std::string rule_broken_by(const std::vector<resource>& others) const;
    write_step uncertain(const common::failure& why, common::timestamp at);
    write_step not_applied(const kv::write_answer& answer, common::timestamp at);

    resource m_resource;
    bool m_erases;
    bool m_may_have_landed = false;
    kv::transaction m_transaction;
    common::timestamp m_begun;
};

} // namespace kumquatgap::config
