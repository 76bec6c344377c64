#include "rank_ring.hpp"
#include "site.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A rank leaves an `arm` order unanswered while its agent stands still, and carries it out after
/// the next leader has undone the switch, in a group that has no work for a while.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

/// Two groups of eight ranks, as on the sheet. All happens in the first one.
constexpr std::size_t ranks = 8;
constexpr std::size_t machines = 16;
constexpr milliseconds check_period{5};
constexpr milliseconds start_limit{25'000};
constexpr milliseconds switch_limit{3000};
constexpr int most_switches = 10;
/// Longer than `contactMs` of the sheet.
constexpr milliseconds calm_time{4000};
/// Within the 2 to 12 s of `applied_late`.
constexpr milliseconds order_delay{10'000};
/// As on the sheet: `node_freeze` of two machines for 3.5 s, `node_kill` for 3.5 s.
constexpr milliseconds freeze_time{3500};
constexpr milliseconds down_time{3500};
/// One rank leaves as many orders to prepare unanswered, so that it copies later than the others.
constexpr std::size_t slow_rank = 1;
constexpr int late_prepares = 3;
/// The agents of ranks that have copied their experts have told the leader so by then.
constexpr milliseconds report_time{40};
constexpr milliseconds kill_after_order{300};
/// How long the group has no work, and then has.
constexpr milliseconds idle_time{14'000};
constexpr milliseconds work_time{3000};

class late_arm_case
{
public:
    late_arm_case()
        : m_record{"record.txt"}, m_directory{make_temp_directory()},
          m_store{m_loop, failures::free_address()}, m_ring{m_loop, "ring-1", free_addresses(),
                                                            [this](const std::string& text)
                                                            { record(text); }},
          m_other_ring{m_loop, "ring-2", free_addresses(),
                       [this](const std::string& text) { record(text); }}
    {
        m_store.put(
            "op/config",
            common::concat(R"({"version":1,"routes":[],"services":[{"name":"twin-assistant",)"
                           R"("engine":{"slots":12,"expertMb":1700,"linkMbps":92000,"sets":)",
                           rank_ring::sets,
                           R"(,)"
                           R"("experts":)",
                           rank_ring::experts, R"(,"placements":)", rank_ring::places,
                           R"(,"spare":)", rank_ring::spare, "}}]}"));
        for (std::size_t i = 0; i < machines; ++i)
            add_agent(i);
    }
    late_arm_case(const late_arm_case&) = delete;
    late_arm_case& operator=(const late_arm_case&) = delete;
    ~late_arm_case()
    {
        m_agents.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }

    verdict run()
    {
        // The group is to be held by another rank than the leader's.
        if (!wait_until([&] { return leader() < ranks; }, start_limit))
            return verdict::could_not_run;
        start(0);
        if (!wait_until([&] { return m_ring.state(0).version > 0; }, start_limit))
            return verdict::could_not_run;
        run_for(calm_time);
        m_ring.set_lateness([this](std::size_t rank, std::string_view operation)
                            { return lateness_of(rank, operation); });
        if (!wait_for_switch())
            return verdict::could_not_run;
        m_ring.set_work(false);
        const auto idle_since = common::now();
        record("requests: no work for a while");
        if (has_trouble() && !disturb())
            return verdict::could_not_run;
        wait_until([&] { return common::now() - idle_since > idle_time; }, idle_time);
        record("requests: there is work again");
        m_ring.set_work(true);
        run_for(work_time);
        return judge();
    }

private:
    static std::vector<std::string> free_addresses()
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < ranks; ++i)
            out.push_back(failures::free_address());
        return out;
    }

    void add_agent(std::size_t i)
    {
        m_controls.push_back(failures::free_address());
        m_settings.push_back(common::concat(m_directory, "/side-", i, ".ini"));
        std::ofstream{m_settings.back()} << filled_template(
            "../../deploy/rank_agent.ini",
            {{"{{nodeName}}", common::concat("side-", i)},
             {"{{zone}}", "oost-a"},
             {"{{limits.memoryMb}}", "128"},
             {"{{limits.maxFds}}", "2048"},
             {"{{limits.linkMbps}}", "20"},
             {"{{platform.address}}", m_store.address()},
             {"{{ip}}:{{internalPorts.0}}", m_controls.back()},
             {"{{ip}}:9464", failures::free_address()},
             {"{{app}}", i < ranks ? m_ring.address(i) : m_other_ring.address(i - ranks)},
             {"{{service}}", "twin-assistant"},
             {"{{#bounds.requireFencing}}true{{/bounds.requireFencing}}"
              "{{^bounds.requireFencing}}false{{/bounds.requireFencing}}",
              "true"}});
        m_agents.push_back(nullptr);
        if (i != 0)
            start(i);
    }

    void start(std::size_t i)
    {
        m_agents[i] = std::make_unique<failures::process>(
            std::vector<std::string>{"../../target/bin/kqg-rank-agent",
                                     "--config=" + m_settings[i]},
            common::concat(m_directory, "/side-", i, ".log"));
        record(common::concat("agent ", i, " started"));
    }

    /// The agent that holds the group's lease; `ranks` if none does.
    std::size_t leader()
    {
        const auto holder = m_store.value("kqg/groups/twin-assistant/ring-1");
        const auto it = std::ranges::find(m_controls, holder);
        return std::min(ranks, static_cast<std::size_t>(it - m_controls.begin()));
    }

    /// Shifts the demand and waits for the switch that follows; with trouble, until rank 0, which
    /// is to hold the group, and another one have copied their experts and the slow rank has not.
    bool wait_for_switch()
    {
        for (int i = 0; i < most_switches; ++i)
        {
            m_switch_from = m_ring.newest_version();
            m_late_prepares = 0;
            m_ring.shift_demand();
            record("requests: other experts are in demand");
            if (wait_until([&] { return is_partly_prepared(); }, switch_limit))
                return true;
        }
        return false;
    }

    bool is_partly_prepared()
    {
        if (m_ring.newest_version() == m_switch_from)
            return false;
        m_leader = leader();
        m_frozen = ranks - 1;
        if (m_frozen == m_leader)
            --m_frozen;
        const auto is_ready = [this](std::size_t rank)
        {
            const auto time = m_ring.prepared_for(rank);
            return time && *time >= report_time;
        };
        return m_leader < ranks && is_ready(0) && is_ready(m_frozen) &&
               (!has_trouble() || !m_ring.prepared_for(slow_rank));
    }

    /// The agents of rank 0 and of another rank stand still for a while. The other one leaves the
    /// order to arm unanswered, and then the leader is killed.
    bool disturb()
    {
        m_is_frozen = true;
        const auto stopped_at = common::now();
        m_agents[0]->signal(SIGSTOP);
        m_agents[m_frozen]->signal(SIGSTOP);
        record(
            common::concat("agents 0 and ", m_frozen, " stand still; agent ", m_leader, " leads"));
        if (!wait_until([&] { return m_has_late_arm; }, freeze_time))
            return false;
        run_for(kill_after_order);
        m_agents[m_leader]->kill();
        m_is_leader_gone = true;
        const auto killed_at = common::now();
        record(common::concat("agent ", m_leader, " is killed"));
        wait_until([&] { return common::now() - stopped_at >= freeze_time; }, freeze_time);
        m_agents[0]->signal(SIGCONT);
        m_agents[m_frozen]->signal(SIGCONT);
        record(common::concat("agents 0 and ", m_frozen, " go on"));
        wait_until([&] { return common::now() - killed_at >= down_time; }, down_time);
        start(m_leader);
        return true;
    }

    /// Called with each order before it is carried out.
    std::optional<milliseconds> lateness_of(std::size_t rank, std::string_view operation)
    {
        if (!has_trouble() || m_is_leader_gone)
            return std::nullopt;
        if (operation == "prepare" && rank == slow_rank && m_late_prepares < late_prepares)
        {
            ++m_late_prepares;
            return order_delay;
        }
        if (operation != "arm" || !m_is_frozen || rank != m_frozen)
            return std::nullopt;
        m_has_late_arm = true;
        return order_delay;
    }

    verdict judge()
    {
        record(common::concat(m_ring.orders(), " orders, ", m_ring.late_orders(),
                              " of them left unanswered; ", m_ring.passes(), " passes, ",
                              m_ring.broken_passes(), " of them with two maps; in the other group ",
                              m_other_ring.broken_passes()));
        return m_ring.broken_passes() + m_other_ring.broken_passes() > 0 ? verdict::broken
                                                                         : verdict::held;
    }

    void record(const std::string& text)
    {
        m_record << (common::now() - m_started_at).count() << " ms  " << text << std::endl;
    }

    bool wait_until(const std::function<bool()>& condition, milliseconds limit)
    {
        const auto start_time = common::now();
        while (!condition())
        {
            if (common::now() - start_time > limit)
                return false;
            run_for(check_period);
        }
        return true;
    }

    void run_for(milliseconds time)
    {
        const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    timestamp m_started_at = common::now();
    std::ofstream m_record;
    std::string m_directory;
    io::event_loop m_loop;
    stand_ins::platform_store m_store;
    rank_ring m_ring;
    rank_ring m_other_ring;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_settings;
    std::vector<std::unique_ptr<failures::process>> m_agents;
    experts::map_version m_switch_from = 0;
    std::size_t m_leader = ranks;
    std::size_t m_frozen = ranks;
    int m_late_prepares = 0;
    bool m_is_frozen = false;
    bool m_has_late_arm = false;
    bool m_is_leader_gone = false;
};

} // namespace

int main()
{
    return run_case([] { return late_arm_case{}.run(); });
}
