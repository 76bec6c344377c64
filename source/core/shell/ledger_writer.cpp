#include "shell/ledger_writer.hpp"

#include <algorithm>

namespace kumquatgap::shell
{

using common::failure;

namespace
{

/// Records written within this time share a lease.
constexpr common::milliseconds lease_use{3600 * 1000};

} // namespace

ledger_writer::ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options)
    : m_loop{loop}, m_store{target}, m_options{options}
{
}

void ledger_writer::write(std::string key, kv::revision expected, std::string value, done fn)
{
    kv::transaction it;
    it.guards.push_back({key, expected});
    it.writes.push_back({std::move(key), std::move(value), 0});
    m_pending.push_back({std::move(it), std::move(fn)});
    flush();
}

void ledger_writer::flush()
{
    if (m_busy || m_pending.empty())
        return;
    m_busy = true;
    if (m_lease == 0 || common::now() >= m_lease_replace_at)
        renew_lease();
    else
        send_batch();
}

void ledger_writer::renew_lease()
{
    m_store.grant_lease(m_options.retention + lease_use,
                        [this](const common::result<kv::lease_id>& answer)
                        {
                            if (!answer)
                                return fail_all(answer.error());
                            m_lease = answer.value();
                            m_lease_replace_at = common::now() + lease_use;
                            send_batch();
                        });
}

/// Nothing was sent, so the writes certainly had no effect.
void ledger_writer::fail_all(const failure& why)
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
    m_store.write(std::move(writes), [this, batch = std::move(batch)](const auto& answer) mutable
                  { finish(std::move(batch), answer); });
}

void ledger_writer::finish(std::vector<pending> batch,
                           const common::result<std::vector<kv::write_response>>& answer)
{
    m_flush_timer = m_loop.after(m_options.period,
                                 [this]
                                 {
                                     m_busy = false;
                                     flush();
                                 });
    if (!answer && answer.error().code == common::result_code::not_found)
        m_lease = 0;
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        if (answer)
            batch[i].fn(answer.value().at(i));
        else
            batch[i].fn(answer.error());
    }
}

} // namespace kumquatgap::shell
