#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::protocol
{

/// The chunks of a stream that were delivered to the caller, kept so that another engine can resume
/// the stream. Chunks are stored unparsed and parsed in batches, since parsing each on arrival
/// would cost every stream.
class delivered_chunks
{
public:
    /// Streams with a longer text than this are not resumed.
    static constexpr std::size_t max_text_bytes = std::size_t{256} << 10;

    /// Records a delivered chunk's data.
    void add(std::string_view data);
    bool empty() const { return m_pending.empty() && m_tokens == 0 && !m_is_not_resumable; }
    /// The request body that makes another engine continue the assistant's last message; none when
    /// the stream can't be resumed.
    std::optional<nlohmann::json> continuation(const nlohmann::json& body);

private:
    void parse_pending();

    /// Unparsed chunks, each followed by a line feed, which a chunk's JSON never contains.
    std::string m_pending;
    std::string m_text;
    std::int64_t m_tokens = 0;
    /// True when a chunk's form or the text's length rules out a resumption.
    bool m_is_not_resumable = false;
};

} // namespace kumquatgap::protocol
