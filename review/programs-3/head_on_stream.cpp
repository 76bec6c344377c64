#include "deployment.hpp"

#include "../../tests/stand_ins/target_answers.hpp"
#include "common/text.hpp"
#include "io/http_codec.hpp"

/// HEAD requests on a streaming route, each followed by another request on the same connection.
namespace kumquatgap::review
{

namespace
{

constexpr int rounds = 5;
constexpr int slots = 12;
constexpr int deadline_ms = 8000;
constexpr milliseconds answer_limit{3000};
constexpr milliseconds settle_time{100};
constexpr std::size_t most_bytes = 65'536;
constexpr std::string_view head_end = "\r\n\r\n";

/// Sends a request and reads for a while; what came.
std::string ask(small_deployment& deployment, raw_connection& connection,
                const io::http_request& request)
{
    connection.forget_received();
    connection.send(to_bytes(request));
    deployment.wait_until(
        [&]
        {
            connection.read(most_bytes);
            return connection.received().find(head_end) != std::string::npos ||
                   connection.has_ended();
        },
        answer_limit);
    deployment.run_for(settle_time);
    connection.read(most_bytes);
    return connection.received();
}

std::string on_one_line(std::string text)
{
    for (auto& c : text)
        c = c == '\r' ? '\\' : (c == '\n' ? '|' : c);
    return text;
}

} // namespace

verdict head_on_stream(const case_options& options)
{
    small_deployment deployment{options, 1};
    deployment.add_target(
        "i-draft-0", "kumquat-pool", slots,
        [&deployment](const io::http_request& request, const sequential_target::reply& out,
                      const std::function<void()>& done)
        {
            deployment.record(common::concat("i-draft-0 runs ", request.method, " ",
                                             request.headers.find("x-request-id")));
            auto text = stand_ins::stream_head(request);
            if (request.method != "HEAD")
                text += stand_ins::stream_event(1) + std::string{io::last_chunk};
            out.write(text);
            done();
        });
    deployment.add_target(
        "i-order-0", "order-desk", slots,
        [&deployment](const io::http_request& request, const sequential_target::reply& out,
                      const std::function<void()>& done)
        {
            deployment.record(
                common::concat("i-order-0 runs ", request.headers.find("x-request-id")));
            out.write(stand_ins::whole_answer(request, 200, "small"));
            done();
        });
    if (!deployment.start_serving(
            nlohmann::json::array({make_route("/drafts/", "streaming", "kumquat-pool", 8000, 2),
                                   make_route("/stock/", "safe", "order-desk", 800, 2)})))
        return verdict::cannot_run;
    int with_stray_bytes = 0;
    for (int i = 0; i < rounds; ++i)
    {
        raw_connection connection{deployment.address(0)};
        const std::string method = options.has_trouble ? "HEAD" : "GET";
        const auto answer = ask(deployment, connection,
                                small_deployment::make_request(
                                    method, "/drafts/1", common::concat("draft-", i), deadline_ms));
        deployment.record(common::concat("answer to ", method, ": ", on_one_line(answer)));
        if (!answer.starts_with("HTTP/1.1 200"))
            return verdict::cannot_run;
        // The answer to HEAD ends with its head. Whatever follows is no answer.
        const bool has_stray_bytes =
            options.has_trouble && answer.size() > answer.find(head_end) + head_end.size();
        with_stray_bytes += has_stray_bytes ? 1 : 0;
        const auto next = ask(deployment, connection,
                              small_deployment::make_request(
                                  "GET", "/stock/1", common::concat("stock-", i), deadline_ms));
        deployment.record(common::concat("answer to the next request: ", on_one_line(next)));
        if (!next.starts_with("HTTP/1.1 200") || !next.ends_with("small"))
            return verdict::cannot_run;
    }
    deployment.record(
        common::concat("answers with bytes behind them ", with_stray_bytes, " of ", rounds));
    return with_stray_bytes > 0 ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
