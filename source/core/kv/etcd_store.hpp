#pragma once

#include "io/http_client.hpp"
#include "kv/store.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>

namespace kumquatgap::kv
{

/// Options of the etcd client.
struct etcd_options
{
    /// `ip:port` of the service.
    std::string address;
    /// The longest time without data from the service before a call fails.
    common::milliseconds timeout{2000};
};

/// Client of the platform's store through the JSON gateway of etcd v3. The first response of a
/// cluster waits until the cluster's era has been read or recorded.
class etcd_store : public store
{
public:
    etcd_store(io::event_loop& loop, io::http_client& client, etcd_options options);
    ~etcd_store() override;

    void range(std::string prefix, callback<range_response> done) override;
    void get(std::string key, callback<std::optional<key_value>> done) override;
    void write(std::vector<transaction> batch, callback<std::vector<write_response>> done) override;
    void grant_lease(common::milliseconds time_to_live, callback<lease> done) override;
    void renew_lease(lease it, callback<common::milliseconds> done) override;
    std::unique_ptr<watch> start_watch(std::string prefix, position from,
                                       watch_events events) override;

private:
    class etcd_watch;
    using json_callback = std::function<void(common::result<nlohmann::json>)>;
    struct waiting_response;

    void call(call_kind kind, std::string path, const nlohmann::json& body, json_callback done);
    void send(call_kind kind, std::string path, const nlohmann::json& body, json_callback done);
    void deliver(nlohmann::json body, const json_callback& done);
    void read_era_record();
    void write_era_record(const std::string& cluster, const std::optional<key_value>& stored);
    void adopt_cluster(const std::string& cluster, era number);
    void fail_waiting(const common::failure& why);

    io::event_loop& m_loop;
    io::http_client& m_client;
    etcd_options m_options;
    std::map<std::uint64_t, io::call_handle> m_calls;
    std::uint64_t m_next_call = 0;
    /// The cluster of the current era; empty before the first response.
    std::string m_cluster;
    std::vector<waiting_response> m_waiting;
};

} // namespace kumquatgap::kv
