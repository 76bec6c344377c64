#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::protocol
{

/// The chunks of a stream that the caller has, kept so that the stream can go on elsewhere.
class delivered_chunks
{
public:
    /// Streams with more delivered bytes than this are not resumed.
    static constexpr std::size_t max_bytes = std::size_t{256} << 10;

    /// Notes a chunk's data.
    void add(std::string_view data);
    bool empty() const { return m_count == 0; }
    /// The body that asks another engine for the rest of the answer, as a continuation of the
    /// assistant's last message; none when it can't be asked for.
    std::optional<nlohmann::json> continuation(const nlohmann::json& body) const;

private:
    std::vector<std::string> m_chunks;
    std::size_t m_bytes = 0;
    std::size_t m_count = 0;
};

} // namespace kumquatgap::protocol
