#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::io
{

/// One server-sent event; views into the text it was read from.
struct sse_event
{
    std::string_view id;
    std::string_view event;
    std::string_view data;

    /// True for an event that carries nothing, such as a comment.
    bool is_blank() const { return id.empty() && data.empty(); }
};

/// Reads the fields of one event. Lines that start with a colon are comments and give nothing.
sse_event parse_event(std::string_view text);

/// Cuts a stream of bytes into events at their blank lines.
class sse_splitter
{
public:
    /// The longest event that is accepted unless the owner says otherwise, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{4} << 20;

    sse_splitter() = default;
    explicit sse_splitter(std::size_t most_bytes) : m_most_bytes{most_bytes} {}

    /// Adds bytes and calls fn with the text of each whole event, without its blank line.
    /// Returns false when an event is too long.
    template <class F>
    bool feed(std::string_view bytes, F&& fn)
    {
        if (m_rest.empty())
        {
            split(bytes, fn);
            m_rest = bytes;
        }
        else
        {
            m_rest += bytes;
            std::string_view view = m_rest;
            split(view, fn);
            m_rest.erase(0, m_rest.size() - view.size());
        }
        return m_rest.size() <= m_most_bytes;
    }

    /// True when bytes of an unfinished event are left.
    bool has_rest() const { return !m_rest.empty(); }

private:
    template <class F>
    static void split(std::string_view& bytes, F&& fn)
    {
        for (auto n = bytes.find("\n\n"); n != std::string_view::npos; n = bytes.find("\n\n"))
        {
            fn(bytes.substr(0, n));
            bytes.remove_prefix(n + 2);
        }
    }

    std::size_t m_most_bytes = max_event_bytes;
    std::string m_rest;
};

} // namespace kumquatgap::io
