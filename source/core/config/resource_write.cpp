#include "config/resource_write.hpp"

#include "common/text.hpp"

#include <algorithm>

namespace kumquatgap::config
{

using common::failure;
using common::result_code;

namespace
{

/// How long a write is tried before the operator is told that its outcome is not known.
constexpr common::milliseconds write_time{5000};
constexpr common::milliseconds repeat_pause{200};

kv::revision revision_of(const kv::range_answer& answer, std::string_view key)
{
    const auto it = std::ranges::find(answer.items, key, &kv::key_value::key);
    return it == answer.items.end() ? 0 : it->modified;
}

std::vector<resource> all_resources(const kv::range_answer& answer)
{
    std::vector<resource> out;
    for (const auto& it : answer.items)
    {
        if (auto r = from_stored(it))
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

write_step resource_write::begin(common::timestamp at)
{
    m_begun = at;
    return read_resources{};
}

write_step resource_write::resources_read(const common::result<kv::range_answer>& answer,
                                          common::timestamp at)
{
    if (!answer && at - m_begun < write_time &&
        answer.error().code == result_code::write_outcome_unknown)
        return read_resources{};
    if (!answer)
        return write_refused{{result_code::store_unavailable, answer.error().detail, repeat_pause}};
    const auto key = key_of(m_resource.type, m_resource.name);
    const auto current = revision_of(answer.value(), key);
    if (m_erases && current == 0)
        return write_refused{{result_code::not_found, ""}};
    if (current != m_resource.version)
        return write_refused{
            {result_code::conflict, common::concat("the resource is at ", current)}};
    const auto broken = rule_broken_by(all_resources(answer.value()));
    if (!broken.empty())
        return write_refused{{result_code::invalid_resource, broken}};
    const auto head = revision_of(answer.value(), head_key);
    m_transaction = {};
    m_transaction.guards = {{key, m_resource.version}, {std::string{head_key}, head}};
    m_transaction.writes = {
        {key, m_erases ? std::nullopt : std::optional{to_stored(m_resource)}, 0},
        {std::string{head_key}, m_resource.writer, 0}};
    return write_transaction{m_transaction};
}

std::string resource_write::rule_broken_by(const std::vector<resource>& others) const
{
    if (!m_erases)
        return conflict_with(m_resource, others);
    const auto field = name_of(m_resource.type);
    const auto user = std::ranges::find_if(
        others, [&](const resource& it)
        { return it.spec.contains(field) && it.spec[std::string{field}] == m_resource.name; });
    if (user == others.end())
        return "";
    return common::concat(name_of(user->type), " ", user->name, " refers to it");
}

write_step resource_write::written(const common::result<kv::write_answer>& answer,
                                   common::timestamp at)
{
    if (!answer)
        return uncertain(answer.error(), at);
    if (answer.value().applied)
        return write_accepted{answer.value().as_of};
    return not_applied(answer.value(), at);
}

write_step resource_write::uncertain(const failure& why, common::timestamp at)
{
    m_may_have_landed = m_may_have_landed || why.code == result_code::write_outcome_unknown;
    if (at - m_begun < write_time)
        return write_transaction{m_transaction, repeat_pause};
    if (m_may_have_landed)
        return write_refused{{result_code::write_outcome_unknown, why.detail}};
    return write_refused{{result_code::store_unavailable, why.detail, repeat_pause}};
}

write_step resource_write::not_applied(const kv::write_answer& answer, common::timestamp at)
{
    const auto& current = answer.current.at(0);
    const auto stored = current ? from_stored(*current) : std::nullopt;
    if (stored && !m_erases && stored->writer == m_resource.writer)
        return write_accepted{current->modified};
    if (!current && m_erases)
        return write_accepted{answer.as_of};
    const auto now_at = current ? current->modified : 0;
    // An earlier try may have taken effect and been changed or deleted since; another one would
    // bring back what somebody else has done away with.
    if (m_may_have_landed)
        return write_refused{{result_code::write_outcome_unknown, "resources have changed"}};
    if (now_at != m_resource.version)
        return write_refused{
            {result_code::conflict, common::concat("the resource is at ", now_at)}};
    if (at - m_begun >= write_time)
        return write_refused{{result_code::conflict, "other resources keep changing"}};
    // Only the head has moved: check against the resources as they are now.
    return read_resources{};
}

} // namespace kumquatgap::config
