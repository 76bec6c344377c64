#include "config/resource_write.hpp"

#include "common/text.hpp"

#include <algorithm>

namespace kumquatgap::config
{

using common::failure;
using common::result_code;

namespace
{

/// How long a write is retried before it fails, with an unknown outcome if it may have been
/// applied.
constexpr common::milliseconds write_time_limit{5000};
constexpr common::milliseconds retry_pause{200};

kv::revision revision_of(const kv::range_response& response, std::string_view key)
{
    const auto it = std::ranges::find(response.items, key, &kv::key_value::key);
    return it == response.items.end() ? 0 : it->mod_revision;
}

std::vector<resource> all_resources(const kv::range_response& response)
{
    std::vector<resource> out;
    for (const auto& it : response.items)
    {
        if (auto r = deserialize(it))
            out.push_back(std::move(*r));
    }
    return out;
}

} // namespace

resource_write resource_write::put(resource r)
{
    return {std::move(r), false};
}

resource_write resource_write::erase(kind k, std::string name, kv::revision version)
{
    return {resource{k, std::move(name), nlohmann::json::object(), version, ""}, true};
}

write_step resource_write::begin(common::timestamp now)
{
    m_started_at = now;
    return read_resources{};
}

write_step resource_write::read_finished(const common::result<kv::range_response>& response,
                                         common::timestamp now)
{
    if (!response && now - m_started_at < write_time_limit &&
        response.error().code == result_code::write_outcome_unknown)
        return read_resources{};
    if (!response)
        return write_refused{
            {result_code::store_unavailable, response.error().detail, retry_pause}};
    const auto key = key_of(m_resource.type, m_resource.name);
    const auto current = revision_of(response.value(), key);
    if (m_is_erase && current == 0)
        return write_refused{{result_code::not_found, ""}};
    if (current != m_resource.version)
        return write_refused{
            {result_code::conflict, common::concat("the resource is at ", current)}};
    const auto violation = find_violation(all_resources(response.value()));
    if (!violation.empty())
        return write_refused{{result_code::invalid_resource, violation}};
    const auto head = revision_of(response.value(), head_key);
    m_transaction = {};
    m_transaction.read_in = response.value().in_era;
    m_transaction.guards = {{key, m_resource.version}, {std::string{head_key}, head}};
    m_transaction.writes = {{key, m_is_erase ? std::nullopt : std::optional{serialize(m_resource)}},
                            {std::string{head_key}, m_resource.writer}};
    return write_transaction{m_transaction};
}

std::string resource_write::find_violation(const std::vector<resource>& others) const
{
    if (!m_is_erase)
        return find_conflict(m_resource, others);
    const auto field = name_of(m_resource.type);
    const auto referrer = std::ranges::find_if(
        others, [&](const resource& it)
        { return it.spec.contains(field) && it.spec[std::string{field}] == m_resource.name; });
    if (referrer == others.end())
        return "";
    return common::concat(name_of(referrer->type), " ", referrer->name, " refers to it");
}

write_step resource_write::written(const common::result<kv::write_response>& response,
                                   common::timestamp now)
{
    if (!response)
        return outcome_unknown(response.error(), now);
    if (response.value().applied)
        return write_accepted{response.value().as_of};
    return not_applied(response.value(), now);
}

write_step resource_write::outcome_unknown(const failure& why, common::timestamp now)
{
    m_may_have_been_applied =
        m_may_have_been_applied || why.code == result_code::write_outcome_unknown;
    if (now - m_started_at < write_time_limit)
        return write_transaction{m_transaction, retry_pause};
    if (m_may_have_been_applied)
        return write_refused{{result_code::write_outcome_unknown, why.detail}};
    return write_refused{{result_code::store_unavailable, why.detail, retry_pause}};
}

write_step resource_write::not_applied(const kv::write_response& response, common::timestamp now)
{
    const auto& current = response.current.at(0);
    const auto stored = current ? deserialize(*current) : std::nullopt;
    if (stored && !m_is_erase && stored->writer == m_resource.writer)
        return write_accepted{current->mod_revision};
    if (!current && m_is_erase)
        return write_accepted{response.as_of};
    const auto current_revision = current ? current->mod_revision : 0;
    // An earlier try may have been applied, and its result changed or deleted since. Another try
    // could undo that later change.
    if (m_may_have_been_applied)
        return write_refused{{result_code::write_outcome_unknown, "resources have changed"}};
    if (current_revision != m_resource.version)
        return write_refused{
            {result_code::conflict, common::concat("the resource is at ", current_revision)}};
    if (now - m_started_at >= write_time_limit)
        return write_refused{{result_code::conflict, "other resources keep changing"}};
    // Only the head key has changed: check again, against the current resources.
    return read_resources{};
}

} // namespace kumquatgap::config
