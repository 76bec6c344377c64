#include "shell/ledger_writer.hpp"

#include <algorithm>

namespace kumquatgap::shell
{

using common::failure;

namespace
{

/// Records written within this time share a lease, which is granted for the retention and this
/// time, so that the last of them is kept long enough too.
constexpr common::milliseconds lease_reuse_time{3600 * 1000};

} // namespace

ledger_writer::ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options)
    : m_loop{loop}, m_store{target}, m_options{options}
{
}

void ledger_writer::write(std::string key, kv::revision expected, std::string value,
                          write_callback callback)
{
    kv::transaction it;
    it.guards.push_back({key, expected});
    it.writes.push_back({std::move(key), std::move(value)});
    m_pending.push_back({std::move(it), std::move(callback)});
    flush();
}

void ledger_writer::flush()
{
    if (m_is_busy || m_pending.empty())
        return;
    m_is_busy = true;
    if (!m_lease || common::now() >= m_lease_replace_at)
        replace_lease();
    else
        send_batch();
}

void ledger_writer::replace_lease()
{
    m_store.grant_lease(m_options.retention + lease_reuse_time,
                        [this](const common::result<kv::lease>& response)
                        {
                            if (!response)
                                return fail_pending(response.error());
                            m_lease = response.value();
                            m_lease_replace_at = common::now() + lease_reuse_time;
                            send_batch();
                        });
}

/// The pending writes were not sent to the store, so they fail with store_unavailable, which means
/// that they were not applied.
void ledger_writer::fail_pending(const failure& why)
{
    finish(std::exchange(m_pending, {}),
           failure{common::result_code::store_unavailable, why.detail});
}

void ledger_writer::send_batch()
{
    const auto n = std::min(m_pending.size(), m_options.max_batch);
    const auto end = m_pending.begin() + static_cast<std::ptrdiff_t>(n);
    std::vector<pending> batch{std::make_move_iterator(m_pending.begin()),
                               std::make_move_iterator(end)};
    m_pending.erase(m_pending.begin(), end);
    std::vector<kv::transaction> writes;
    for (auto& it : batch)
    {
        it.write.writes.front().lease = m_lease;
        writes.push_back(it.write);
    }
    m_store.write(std::move(writes), [this, batch = std::move(batch)](const auto& response) mutable
                  { finish(std::move(batch), response); });
}

void ledger_writer::finish(std::vector<pending> batch,
                           const common::result<std::vector<kv::write_response>>& response)
{
    m_flush_timer = m_loop.after(m_options.period,
                                 [this]
                                 {
                                     m_is_busy = false;
                                     flush();
                                 });
    if (!response && response.error().code == common::result_code::not_found)
        m_lease = {};
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        if (response)
            batch[i].callback(response.value().at(i));
        else
            batch[i].callback(response.error());
    }
}

} // namespace kumquatgap::shell
