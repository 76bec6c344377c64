#include "kv/store.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace kumquatgap::kv
{

bool store::note_era(era it)
{
    if (it < current_era())
        return false;
    if (m_era == it)
        return true;
    const bool is_restored = m_era.has_value();
    common::log(is_restored ? common::log_level::warn : common::log_level::info,
                is_restored ? "store_restored" : "store_era",
                {{"era", it}, {"previous_era", current_era()}});
    m_era = it;
    m_era_since = common::now();
    if (is_restored)
        std::ranges::for_each(m_restored_handlers, [](const auto& fn) { fn(); });
    return true;
}

std::optional<common::failure> store::reason_not_to_send(const transaction& it) const
{
    using common::result_code;
    const auto has_ended = [this](const key_write& w)
    { return w.lease && w.lease.granted_in != current_era(); };
    if (std::ranges::any_of(it.writes, has_ended))
        return common::failure{result_code::not_found, "the lease has ended"};
    if (it.read_in.value_or(current_era()) != current_era())
        return common::failure{result_code::store_unavailable,
                               "the store was restored since the read"};
    return std::nullopt;
}

} // namespace kumquatgap::kv
