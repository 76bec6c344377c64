#pragma once

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "rank_engine.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquatgap::stand_ins
{

/// What becomes of an order that reaches a rank.
enum class order_mood : std::uint8_t
{
    answered,
    /// Half of the orders get no answer, and are carried out up to two seconds later.
    late
};

/// The ranks of one group by the users' published protocol, each at an address of its own, in the
/// loop of the test that owns them. The group advances in lock-step and counts the passes that
/// begin while two ranks have different maps.
class rank_group
{
public:
    /// Experts of one set, and how many of them a rank may hold.
    static constexpr int experts = 16;
    static constexpr int places = 8;

    rank_group(io::event_loop& loop, std::vector<std::string> addresses, std::string name = "g");
    rank_group(const rank_group&) = delete;
    rank_group& operator=(const rank_group&) = delete;
    ~rank_group();

    const std::string& address(std::size_t rank) const { return m_ranks.at(rank)->address; }
    /// The version of the map that the first rank has.
    std::int64_t version() const { return m_ranks.front()->engine.state.version; }
    std::int64_t passes() const { return m_passes; }
    /// Passes that began while two ranks had maps of different versions or contents.
    int broken_passes() const { return m_broken_passes; }
    /// How long the group has stood before the pass that it is to begin next.
    common::milliseconds standing() const { return common::now() - m_last_pass_at; }
    /// Draws anew which experts are chosen often, so that the map in force is a bad one for them.
    void shift_popularity();
    void set_mood(order_mood mood) { m_mood = mood; }
    void set_pace(std::size_t rank, double slowdown)
    {
        m_ranks.at(rank)->engine.state.slowdown = slowdown;
    }
    /// A rank restarts, so that the group forms anew with map 0.
    void restart_rank();

private:
    struct rank
    {
        std::string address;
        experts::rank_engine engine;
        /// The maps that it has prepared and uses, as they came.
        std::string prepared_map;
        std::string map;
        std::vector<std::int64_t> counts;
        std::unique_ptr<io::http_server> server;
    };

    void handle(rank& it, const io::http_request& request, const io::responder_ptr& answer);
    void take_order(rank& it, const io::http_request& request, const io::responder_ptr& answer);
    experts::order_outcome carry_out(rank& it, const experts::rank_order& order,
                                     const std::string& map);
    std::string report(const rank& it) const;
    std::string picked(const rank& it, bool wants_lists) const;
    std::vector<int> held(const rank& it) const;
    double skew() const;
    void begin_pass();

    io::event_loop& m_loop;
    std::string m_name;
    std::vector<std::unique_ptr<rank>> m_ranks;
    std::vector<double> m_popularity;
    std::mt19937_64 m_random{7};
    std::int64_t m_epoch = 1;
    std::int64_t m_passes = 0;
    int m_broken_passes = 0;
    common::timestamp m_last_pass_at;
    order_mood m_mood = order_mood::answered;
    std::list<io::timer_handle> m_late_orders;
    io::timer_handle m_pass_timer;
};

} // namespace kumquatgap::stand_ins
