#pragma once

#include "../../tests/failures/process.hpp"
#include "../../tests/stand_ins/platform_store.hpp"
#include "../../tests/stand_ins/scripted_target.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::review
{

using common::milliseconds;

/// The exit codes of a case.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    cannot_run = 2
};

/// What a case's script passes to its program.
struct case_options
{
    /// The folder of the case, which gets record.txt.
    std::string folder;
    /// False runs the same without the disruption.
    bool has_trouble = true;
};

/// A route as on the sheet of tuuz-router.
nlohmann::json make_route(const std::string& prefix, const std::string& kind,
                          const std::string& service, int timeout_ms, int max_attempts);

/// A target that handles one request at a time on a connection, in the order in which they came.
class sequential_target
{
public:
    using reply = stand_ins::scripted_target::reply;
    /// Calls `done` once the answer is written.
    using script =
        std::function<void(const io::http_request&, const reply&, std::function<void()>)>;

    sequential_target(io::event_loop& loop, std::string address, script fn);

    const std::string& address() const { return m_target.address(); }

private:
    struct pending
    {
        io::http_request request;
        reply out;
    };

    void accept(const io::http_request& request, const reply& out);
    void run_next(const void* connection);

    script m_script;
    std::map<const void*, std::deque<pending>> m_open;
    stand_ins::scripted_target m_target;
};

/// A store and targets in this process, and gateways as processes of their own, which are started
/// with the command of the deploy file and settings from its template.
class small_deployment
{
public:
    small_deployment(const case_options& options, int gateways);
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;
    ~small_deployment();

    io::event_loop& loop() { return m_loop; }
    const std::string& address(std::size_t gateway) const { return m_addresses.at(gateway); }
    failures::process& gateway(std::size_t i) { return *m_gateways.at(i); }
    std::size_t size() const { return m_gateways.size(); }
    /// Starts a target and writes its entry.
    void add_target(const std::string& id, const std::string& service, int slots,
                    sequential_target::script fn);
    /// Writes the operators' configuration, and waits until all gateways are ready.
    bool start_serving(const nlohmann::json& routes);
    void run_for(milliseconds time);
    bool wait_until(const std::function<bool()>& condition, milliseconds longest);
    /// The head and body of a request as a caller sends it.
    static io::http_request make_request(const std::string& method, const std::string& path,
                                         const std::string& id, int deadline_ms,
                                         const std::string& body = "");
    /// Writes a line with the time since the start to record.txt.
    void record(const std::string& line);

private:
    bool is_ready(std::size_t gateway);

    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    std::string m_directory;
    std::ofstream m_record;
    common::timestamp m_started_at;
    std::unique_ptr<stand_ins::platform_store> m_store;
    std::list<std::unique_ptr<sequential_target>> m_targets;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_ready_addresses;
    std::vector<std::unique_ptr<failures::process>> m_gateways;
};

/// A store in this process, and rank agents as processes of their own, which are started with the
/// command of the deploy file and settings from its template.
class rank_deployment
{
public:
    explicit rank_deployment(const case_options& options);
    rank_deployment(const rank_deployment&) = delete;
    rank_deployment& operator=(const rank_deployment&) = delete;
    ~rank_deployment();

    io::event_loop& loop() { return m_loop; }
    stand_ins::platform_store& store() { return m_store; }
    /// Starts the agent of a rank at `target`.
    std::unique_ptr<failures::process> start_agent(const std::string& name,
                                                   const std::string& control_address,
                                                   const std::string& target);
    void run_for(milliseconds time);
    bool wait_until(const std::function<bool()>& condition, milliseconds longest);
    /// Writes a line with the time since the start to record.txt.
    void record(const std::string& line);

private:
    io::event_loop m_loop;
    std::string m_directory;
    std::ofstream m_record;
    common::timestamp m_started_at;
    stand_ins::platform_store m_store;
};

/// A caller's own connection, read as slowly as a case says.
class raw_connection
{
public:
    /// `receive_buffer` is the size of the receive buffer; 0 for the system's default.
    explicit raw_connection(const std::string& address, int receive_buffer = 0);
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection();

    bool is_connected() const { return m_is_connected; }
    bool send(std::string_view bytes) const;
    /// Reads what has come, up to `most` bytes.
    void read(std::size_t most);
    const std::string& received() const { return m_received; }
    void forget_received() { m_received.clear(); }
    /// True once the connection has been closed by the peer, or reset.
    bool has_ended() const { return m_has_ended; }
    /// The error that ended it; 0 for an orderly close.
    int error() const { return m_error; }

private:
    int m_fd;
    bool m_is_connected = false;
    std::string m_received;
    bool m_has_ended = false;
    int m_error = 0;
};

/// A request as bytes.
std::string to_bytes(const io::http_request& request);

/// The cases; each returns whether its rule held.
verdict repeat_after_late_extra_answer(const case_options& options);
verdict late_order_after_takeover(const case_options& options);
verdict stream_with_other_line_ends(const case_options& options);
verdict answer_without_signature(const case_options& options);
verdict head_on_stream(const case_options& options);

} // namespace kumquatgap::review
