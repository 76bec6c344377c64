#include "gateway/gateway_registry.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

#include <algorithm>

namespace kumquatgap::gateway
{

using common::failure;
using common::milliseconds;
using common::timestamp;

namespace
{

/// The entry of a stopped gateway expires after this time.
constexpr milliseconds registration_ttl{10'000};
constexpr milliseconds registration_period{3000};

} // namespace

gateway_registry::gateway_registry(io::event_loop& loop, kv::store& store, std::string name,
                                   std::string address)
    : m_loop{loop}, m_store{store}, m_name{std::move(name)}, m_address{std::move(address)}
{
}

void gateway_registry::register_self()
{
    m_timer = m_loop.every(registration_period, [this] { register_self(); });
    if (m_is_first_start_unsaved)
        save_first_start();
    if (m_address.empty())
        return;
    if (m_lease.granted_in != m_store.current_era())
        m_lease = {};
    if (m_lease)
        return m_store.renew_lease(m_lease,
                                   [this](const auto& response)
                                   {
                                       if (!response)
                                           handle_failure(response.error());
                                   });
    m_store.grant_lease(registration_ttl,
                        [this](const auto& response)
                        {
                            if (!response)
                                return handle_failure(response.error());
                            m_lease = response.value();
                            write_entry();
                        });
}

void gateway_registry::write_entry()
{
    m_store.write({{{}, {{common::concat(prefix, m_name), m_address, m_lease}}}},
                  [this](const auto& response)
                  {
                      if (!response)
                          handle_failure(response.error());
                  });
}

bool gateway_registry::note_first_read(const std::vector<kv::key_value>& items)
{
    const auto is_own_key = [](const kv::key_value& it)
    { return it.key == first_start_key || it.key.starts_with(prefix); };
    if (std::ranges::any_of(items, is_own_key))
        return false;
    m_is_first_start_unsaved = true;
    save_first_start();
    return true;
}

void gateway_registry::save_first_start()
{
    const std::string key{first_start_key};
    m_store.write({{{{key, 0}}, {{key, m_name, {}}}}},
                  [this](const auto& response)
                  {
                      // Written, or another gateway has written it.
                      if (response)
                          m_is_first_start_unsaved = false;
                      else
                          common::log(common::log_level::warn, "first_start_not_stored",
                                      {{"detail", response.error().detail}});
                  });
}

/// Drops the lease if it has ended or the entry was never written, so that a new one is requested.
/// After any other failure the entry still exists, and the next renewal retries.
void gateway_registry::handle_failure(const failure& why)
{
    common::log(common::log_level::warn, "registration_failed",
                {{"code", common::number(why.code)}, {"detail", why.detail}});
    if (why.code == common::result_code::not_found || !m_addresses.contains(m_name))
        m_lease = {};
}

void gateway_registry::handle_written(const std::string& name, const std::string& address)
{
    m_addresses.insert_or_assign(name, address);
    m_kept_until.erase(name);
}

/// The shares of the gateways in what they use together depend on how many there are, so one whose
/// entry may be written again is not taken out at once.
void gateway_registry::handle_removed(const std::string& name, bool may_return, timestamp now)
{
    if (may_return && name != m_name)
        m_kept_until.insert_or_assign(name, now + registration_ttl);
    else
        m_addresses.erase(name);
}

bool gateway_registry::prune(timestamp now)
{
    const auto removed =
        std::erase_if(m_addresses,
                      [&](const auto& it)
                      {
                          const auto found = m_kept_until.find(it.first);
                          return found != m_kept_until.end() && found->second <= now;
                      });
    std::erase_if(m_kept_until, [now](const auto& it) { return it.second <= now; });
    return removed > 0;
}

std::vector<membership::peer> gateway_registry::peers() const
{
    std::vector<membership::peer> out;
    for (const auto& [name, address] : m_addresses)
    {
        if (name != m_name)
            out.push_back({name, address});
    }
    return out;
}

} // namespace kumquatgap::gateway
