#include "io/http_server.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <evhtp.h>

#include <sys/socket.h>

namespace kumquatgap::io
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr int max_send_checks = 200;
constexpr timeval send_check_period{0, 5000};

/// libevhtp takes hooks of every type as one function pointer type.
template <class F>
evhtp_hook as_hook(F* fn)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(fn));
}

int add_field(evhtp_header_t* field, void* arg)
{
    static_cast<header_list*>(arg)->add({field->key, field->klen}, {field->val, field->vlen});
    return 0;
}

std::string take_body(evbuffer* buf)
{
    std::string body(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, body.data(), body.size());
    return body;
}

} // namespace

/// What one connection's current request has sent so far.
struct http_server::connection_state
{
    http_server& server;
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    std::string query = {};
    /// True from a request's first line until it is handled.
    bool is_reading = false;

    static evhtp_res on_path(evhtp_request_t* /*request*/, evhtp_path_t* /*path*/, void* arg)
    {
        static_cast<connection_state*>(arg)->is_reading = true;
        return EVHTP_RES_OK;
    }

    /// libevhtp replaces the query by the body of a form, so it is noted before the body is read.
    static evhtp_res on_headers(evhtp_request_t* request, evhtp_headers_t* /*headers*/, void* arg)
    {
        const auto* uri = request->uri;
        if (uri != nullptr && uri->query_raw != nullptr)
            static_cast<connection_state*>(arg)->query =
                reinterpret_cast<const char*>(uri->query_raw);
        return EVHTP_RES_OK;
    }

    static evhtp_res on_header(evhtp_request_t* /*request*/, evhtp_header_t* field, void* arg)
    {
        static_cast<connection_state*>(arg)->header_bytes += field->klen + field->vlen;
        return EVHTP_RES_OK;
    }

    /// Counts the body and drops what is over the limit, so that a long body costs no memory.
    static evhtp_res on_body(evhtp_request_t* /*request*/, evbuffer* buf, void* arg)
    {
        auto& state = *static_cast<connection_state*>(arg);
        state.body_bytes += evbuffer_get_length(buf);
        if (state.body_bytes > state.server.m_limits.body_bytes)
            evbuffer_drain(buf, evbuffer_get_length(buf));
        return EVHTP_RES_OK;
    }

    /// libevhtp closes a connection whose request it can't read without a word, so that is said
    /// here, past its buffers.
    static evhtp_res on_close(evhtp_connection_t* connection, void* arg)
    {
        const std::unique_ptr<connection_state> state{static_cast<connection_state*>(arg)};
        const auto& text = state->server.m_malformed_answer;
        if (state->is_reading && connection->bev != nullptr)
            ::send(bufferevent_getfd(connection->bev), text.data(), text.size(),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        return EVHTP_RES_OK;
    }
};

responder::responder(evhtp_request* request) : m_request{request} {}

void responder::add_headers(const header_list& headers)
{
    for (const auto& [name, value] : headers)
        evhtp_headers_add_header(m_request->headers_out,
                                 evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

void responder::reply(const http_answer& answer)
{
    if (!is_open() || m_started)
        return;
    m_started = true;
    m_finished = true;
    add_headers(answer.headers);
    evbuffer_add(m_request->buffer_out, answer.body.data(), answer.body.size());
    evhtp_send_reply(m_request, static_cast<evhtp_res>(answer.status));
}

void responder::start_stream(int status, const header_list& headers)
{
    if (!is_open() || m_started)
        return;
    m_started = true;
    add_headers(headers);
    evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(status));
}

void responder::write(std::string_view data)
{
    if (!is_open() || !m_started || data.empty())
        return;
    auto* buf = evbuffer_new();
    evbuffer_add(buf, data.data(), data.size());
    evhtp_send_reply_chunk(m_request, buf);
    evbuffer_free(buf);
}

void responder::end()
{
    if (!is_open() || !m_started)
        return;
    m_finished = true;
    evhtp_send_reply_chunk_end(m_request);
}

void responder::cut()
{
    if (!is_open())
        return;
    m_finished = true;
    shut_connection();
}

/// The loop sees the end of the connection and libevhtp frees it in its own time.
void responder::shut_connection()
{
    ::shutdown(bufferevent_getfd(evhtp_connection_get_bev(m_request->conn)), SHUT_RDWR);
}

void responder::cut_after_sending()
{
    if (!is_open())
        return;
    m_finished = true;
    shut_when_sent(max_send_checks);
}

void responder::shut_when_sent(int checks_left)
{
    if (m_request == nullptr)
        return;
    if (unsent_bytes() == 0 || checks_left == 0)
        return shut_connection();
    struct next_check
    {
        std::shared_ptr<responder> answer;
        int checks_left;

        static void run(evutil_socket_t /*fd*/, short /*what*/, void* arg)
        {
            const std::unique_ptr<next_check> it{static_cast<next_check*>(arg)};
            it->answer->shut_when_sent(it->checks_left);
        }
    };
    event_base_once(m_request->conn->evbase, -1, EV_TIMEOUT, &next_check::run,
                    new next_check{shared_from_this(), checks_left - 1}, &send_check_period);
}

std::size_t responder::unsent_bytes() const
{
    if (m_request == nullptr)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(evhtp_connection_get_bev(m_request->conn)));
}

void responder::request_freed()
{
    m_request = nullptr;
    const auto fn = std::exchange(m_on_gone, nullptr);
    if (fn && !m_finished)
        fn();
}

http_server::http_server(event_loop& loop, http_limits limits, handler fn)
    : m_limits{limits}, m_handler{std::move(fn)}, m_server{evhtp_new(loop.base(), nullptr)}
{
    evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(m_server, &http_server::handle, this);
    evhtp_set_post_accept_cb(m_server, &http_server::accept, this);
}

http_server::~http_server()
{
    stop_listening();
    evhtp_free(m_server);
}

void http_server::set_malformed_answer(const http_answer& answer)
{
    m_malformed_answer = common::concat("HTTP/1.1 ", answer.status, " Bad Request\r\n");
    for (const auto& [name, value] : answer.headers)
        m_malformed_answer += common::concat(name, ": ", value, "\r\n");
    m_malformed_answer += common::concat(
        "Connection: close\r\nContent-Length: ", answer.body.size(), "\r\n\r\n", answer.body);
}

bool http_server::listen(std::string_view address)
{
    const auto it = common::parse_address(address);
    m_listening =
        it.port != 0 && evhtp_bind_socket(m_server, it.ip.c_str(), it.port, listen_backlog) == 0;
    return m_listening;
}

void http_server::stop_listening()
{
    if (m_listening)
        evhtp_unbind_socket(m_server);
    m_listening = false;
}

std::uint16_t http_server::accept(evhtp_connection* connection, void* arg)
{
    auto* state = new connection_state{*static_cast<http_server*>(arg)};
    evhtp_connection_set_hook(connection, evhtp_hook_on_path, as_hook(&connection_state::on_path),
                              state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_header,
                              as_hook(&connection_state::on_header), state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                              as_hook(&connection_state::on_headers), state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_read, as_hook(&connection_state::on_body),
                              state);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              as_hook(&connection_state::on_close), state);
    return EVHTP_RES_OK;
}

void http_server::handle(evhtp_request* request, void* arg)
{
    auto& server = *static_cast<http_server*>(arg);
    auto& state = *static_cast<connection_state*>(request->conn->hooks->on_read_arg);

    received_request received;
    received.request.method = htparser_get_methodstr_m(request->method);
    if (request->uri != nullptr && request->uri->path != nullptr)
        received.request.path = request->uri->path->full;
    received.request.query = std::exchange(state.query, {});
    evhtp_headers_for_each(request->headers_in, &add_field, &received.request.headers);
    received.headers_too_large = state.header_bytes > server.m_limits.header_bytes;
    received.body_too_large = state.body_bytes > server.m_limits.body_bytes;
    received.request.body = take_body(request->buffer_in);
    state.header_bytes = 0;
    state.body_bytes = 0;
    state.is_reading = false;

    const auto answer = std::make_shared<responder>(request);
    struct hold
    {
        responder_ptr answer;
        http_server& server;

        static evhtp_res release(evhtp_request_t* /*request*/, void* hold_arg)
        {
            const std::unique_ptr<hold> it{static_cast<hold*>(hold_arg)};
            --it->server.m_open_requests;
            it->answer->request_freed();
            return EVHTP_RES_OK;
        }
    };
    ++server.m_open_requests;
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, as_hook(&hold::release),
                           new hold{answer, server});
    server.m_handler(std::move(received), answer);
}

} // namespace kumquatgap::io
