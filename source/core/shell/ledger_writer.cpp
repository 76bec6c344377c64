#include "shell/ledger_writer.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace kumquatgap::shell
{

using common::failure;

namespace
{

/// Records written within this time share a lease, which is granted for the retention and this
/// time, so that the last of them is kept long enough too.
constexpr common::milliseconds lease_reuse_time{3600 * 1000};
constexpr common::milliseconds rewrite_retry_pause{500};

} // namespace

ledger_writer::ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options)
    : m_loop{loop}, m_store{target}, m_options{options}
{
    m_store.on_restored([this] { m_loop.defer([this] { handle_restored(); }); });
}

void ledger_writer::write(std::string key, kv::revision expected, std::string value, bool says_run,
                          write_callback callback)
{
    if (common::now() < m_settled_at)
        return callback(failure{common::result_code::store_unavailable,
                                "the store has been restored, its records are being completed"});
    enqueue(std::move(key), expected, std::move(value), says_run, std::move(callback));
}

/// The lease and the revisions of the former era are of no use. Records that the store lacks, or
/// has in an older state, are written again.
void ledger_writer::handle_restored()
{
    m_lease = {};
    m_settled_at = common::now() + m_options.restore_settle_time;
    forget_old();
    common::log(
        common::log_level::warn, "ledger_records_rewritten",
        {{"records", m_recent.size()}, {"settled_in_ms", m_options.restore_settle_time.count()}});
    for (const auto& [key, it] : m_recent)
        rewrite(key, 0);
}

void ledger_writer::rewrite(const std::string& key, kv::revision expected)
{
    const auto it = m_recent.find(key);
    if (it == m_recent.end())
        return;
    enqueue(key, expected, it->second.value, true,
            [this, key, value = it->second.value](const auto& response)
            {
                if (!response)
                    return retry_rewrite(key);
                const auto& written = response.value();
                if (written.applied)
                    return;
                const auto& current = written.current.at(0);
                // This agent handed the call to its target, so no other record of the key is right.
                if (!current || current->value != value)
                    rewrite(key, current ? current->mod_revision : 0);
            });
}

void ledger_writer::retry_rewrite(const std::string& key)
{
    m_unwritten.insert(key);
    if (m_unwritten.size() > 1)
        return;
    m_rewrite_timer =
        m_loop.after(rewrite_retry_pause,
                     [this]
                     {
                         const auto keys = std::exchange(m_unwritten, {});
                         common::log(common::log_level::warn, "ledger_records_not_rewritten",
                                     {{"records", keys.size()}});
                         for (const auto& it : keys)
                             rewrite(it, 0);
                     });
}

void ledger_writer::remember(const pending& it)
{
    const auto& w = it.write.writes.front();
    if (const auto old = m_recent.find(w.key); old != m_recent.end())
    {
        m_recent_bytes -= old->second.value.size();
        m_recent.erase(old);
    }
    if (!it.says_run)
        return;
    m_recent_bytes += w.value->size();
    m_recent.emplace(w.key, recent_record{*w.value, common::now()});
}

void ledger_writer::forget_old()
{
    const auto oldest_allowed = common::now() - m_options.restore_window;
    std::erase_if(m_recent,
                  [&](const auto& it)
                  {
                      const bool is_old = it.second.at < oldest_allowed;
                      m_recent_bytes -= is_old ? it.second.value.size() : 0;
                      return is_old;
                  });
    while (m_recent_bytes > m_options.max_restore_bytes)
    {
        const auto oldest =
            std::ranges::min_element(m_recent, {}, [](const auto& it) { return it.second.at; });
        m_recent_bytes -= oldest->second.value.size();
        m_recent.erase(oldest);
    }
}

void ledger_writer::enqueue(std::string key, kv::revision expected, std::string value,
                            bool says_run, write_callback callback)
{
    kv::transaction it;
    it.guards.push_back({key, expected});
    it.writes.push_back({std::move(key), std::move(value)});
    m_pending.push_back({std::move(it), says_run, std::move(callback)});
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
    forget_old();
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        if (response && response.value().at(i).applied)
            remember(batch[i]);
        if (response)
            batch[i].callback(response.value().at(i));
        else
            batch[i].callback(response.error());
    }
}

} // namespace kumquatgap::shell
