#include "kv/call_counts.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

namespace kumquatgap::kv
{

namespace
{

constexpr auto s_call_kind_names = std::to_array<std::string_view>(
    {"read", "old_read", "range", "watch", "write", "grant_lease", "renew_lease"});
static_assert(s_call_kind_names.size() == call_kind_count);

} // namespace

std::string_view name_of(call_kind it)
{
    return s_call_kind_names[static_cast<std::size_t>(it)];
}

void call_counts::write_metrics(common::metrics& m) const
{
    for (std::size_t i = 0; i < call_kind_count; ++i)
        m.set(common::concat("kqg_store_calls{kind=\"", s_call_kind_names[i], "\"}"),
              static_cast<std::int64_t>(m_counts[i]));
}

void call_counts::log_totals() const
{
    const auto n = [this](call_kind it) { return static_cast<std::int64_t>(of(it)); };
    using enum call_kind;
    common::log(common::log_level::info, "store_calls",
                {{"read", n(read)},
                 {"old_read", n(old_read)},
                 {"range", n(range)},
                 {"watch", n(watch)},
                 {"write", n(write)},
                 {"grant_lease", n(grant_lease)},
                 {"renew_lease", n(renew_lease)}});
}

} // namespace kumquatgap::kv
