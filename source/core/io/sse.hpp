#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::io
{

/// One server-sent event; its fields are views into the parsed text, which must outlive it.
struct sse_event
{
    std::string_view id;
    std::string_view event;
    std::string_view data;

    /// True for an event without an id and data, such as a comment.
    bool is_blank() const { return id.empty() && data.empty(); }
};

/// Parses the fields of one event. Lines that start with a colon are comments and are ignored.
sse_event parse_event(std::string_view text);

/// Splits a byte stream into events at the blank lines that end them.
class sse_splitter
{
public:
    /// Default for the longest accepted event, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{4} << 20;

    sse_splitter() = default;
    explicit sse_splitter(std::size_t max_bytes) : m_max_event_bytes{max_bytes} {}

    /// Adds bytes and calls fn with the text of each complete event, without its blank line.
    /// Returns false when an incomplete event exceeds the limit.
    template <class F>
    bool feed(std::string_view bytes, F&& fn)
    {
        if (m_partial_event.empty())
        {
            split(bytes, fn);
            m_partial_event = bytes;
        }
        else
        {
            m_partial_event += bytes;
            std::string_view view = m_partial_event;
            split(view, fn);
            m_partial_event.erase(0, m_partial_event.size() - view.size());
        }
        return m_partial_event.size() <= m_max_event_bytes;
    }

    /// True when bytes of an incomplete event are buffered.
    bool has_partial_event() const { return !m_partial_event.empty(); }

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

    std::size_t m_max_event_bytes = max_event_bytes;
    std::string m_partial_event;
};

} // namespace kumquatgap::io
