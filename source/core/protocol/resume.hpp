#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::protocol
{

/// The chunks of a stream that the caller has, kept so that the stream can go on elsewhere: their
/// text, and the newest of them as they came, since reading each at once would cost every stream.
class delivered_chunks
{
public:
    /// Streams with a longer text than this are not resumed.
    static constexpr std::size_t max_text_bytes = std::size_t{256} << 10;

    /// Notes a chunk's data.
    void add(std::string_view data);
    bool empty() const { return m_unread.empty() && m_tokens == 0 && !m_is_unreadable; }
    /// The body that asks another engine for the rest of the answer, as a continuation of the
    /// assistant's last message; none when it can't be asked for.
    std::optional<nlohmann::json> continuation(const nlohmann::json& body);

private:
    void read();

    /// Chunks' data, each with a line feed behind it, which JSON never contains.
    std::string m_unread;
    std::string m_text;
    std::int64_t m_tokens = 0;
    /// True when a chunk had a form that can't be continued.
    bool m_is_unreadable = false;
};

} // namespace kumquatgap::protocol
