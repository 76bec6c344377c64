#pragma once

#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::stand_ins
{

/// How the store treats calls.
enum class store_mood : std::uint8_t
{
    serves,
    /// Answers 503 to everything, and ends the watches that wait.
    refuses,
    /// Takes calls and answers nothing.
    silent
};

/// The users' key-value service by its published protocol: keys with revisions, conditions, leases
/// and polled watches. It runs in the loop of the test that owns it.
class platform_store
{
public:
    platform_store(io::event_loop& loop, const std::string& address);

    const std::string& address() const { return m_address; }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    bool contains(const std::string& key) const { return m_state.items.contains(key); }
    /// The value of a key; empty when there is none.
    std::string value(const std::string& key) const
    {
        const auto it = m_state.items.find(key);
        return it == m_state.items.end() ? "" : it->second.value;
    }
    void set_mood(store_mood mood);
    /// From now on, calls that take an old answer get what the keys are now, for good.
    void freeze_old_reads() { m_old_items = m_state.items; }
    /// Drops the history, so that watches have to list anew.
    void compact();
    /// Keeps a copy of all keys and leases, which restore() goes back to.
    void take_copy() { m_copy = m_state; }
    /// Loses what was written since the copy was taken, and gives out its revisions and lease ids
    /// again, in a new era. Watches that wait are cut, or go on if `cuts_watches` is false.
    void restore(bool cuts_watches = true);
    std::int64_t era() const { return m_era; }
    std::int64_t revision() const { return m_state.revision; }
    std::uint64_t calls() const { return m_calls; }

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event
    {
        std::string key;
        item now;
        bool deleted = false;
    };
    struct lease
    {
        common::milliseconds time_to_live{0};
        common::timestamp ends_at;
    };
    /// What a copy of the store has.
    struct state
    {
        std::map<std::string, item> items;
        std::deque<event> history;
        std::int64_t revision = 1;
        std::map<std::int64_t, lease> leases;
        std::int64_t last_lease = 0;
    };
    struct waiting_watch
    {
        std::string prefix;
        std::int64_t after = 0;
        io::responder_ptr answer;
        io::timer_handle timer;
    };

    void reply(io::responder& answer, int status,
               const nlohmann::json& body = nlohmann::json::object()) const;
    void handle(const io::http_request& request, const io::responder_ptr& answer);
    void watch(const io::http_request& request, const io::responder_ptr& answer);
    void keep_lease(std::int64_t id, io::responder& answer);
    void end_leases();
    void transact(const io::http_request& request, io::responder& answer);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void note(event e);
    bool answer_watch(const waiting_watch& it, bool is_last_chance) const;

    io::event_loop& m_loop;
    std::string m_address;
    io::http_server m_server;
    state m_state;
    state m_copy;
    std::int64_t m_era = 1;
    /// What old reads get; they are up to date while there is none.
    std::optional<std::map<std::string, item>> m_old_items;
    std::list<waiting_watch> m_watches;
    std::int64_t m_oldest = 0;
    io::timer_handle m_lease_timer;
    std::uint64_t m_calls = 0;
    store_mood m_mood = store_mood::serves;
};

} // namespace kumquatgap::stand_ins
