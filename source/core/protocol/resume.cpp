#include "protocol/resume.hpp"

namespace kumquatgap::protocol
{

using nlohmann::json;

namespace
{

/// Stored chunks are parsed when they exceed this size.
constexpr std::size_t max_pending_bytes = std::size_t{4} << 10;

/// The text that a chunk adds to its only choice; none for a chunk of another form.
std::optional<std::string> read_delta_text(std::string_view data)
{
    const auto chunk = json::parse(data, nullptr, false);
    try
    {
        const auto& choices = chunk.at("choices");
        if (choices.size() != 1 || choices[0].value("index", 0) != 0)
            return std::nullopt;
        const auto& delta = choices[0].at("delta");
        if (delta.contains("tool_calls"))
            return std::nullopt;
        const auto content = delta.value("content", json());
        return content.is_string() ? content.get<std::string>() : std::string{};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

void delivered_chunks::add(std::string_view data)
{
    m_pending += data;
    m_pending += '\n';
    if (m_pending.size() > max_pending_bytes)
        parse_pending();
}

void delivered_chunks::parse_pending()
{
    std::string_view rest = m_pending;
    while (!rest.empty())
    {
        const auto end = rest.find('\n');
        const auto part = read_delta_text(rest.substr(0, end));
        m_is_not_resumable = m_is_not_resumable || !part || m_text.size() > max_text_bytes;
        m_tokens += part && !part->empty() ? 1 : 0;
        if (!m_is_not_resumable)
            m_text += *part;
        rest.remove_prefix(end + 1);
    }
    m_pending.clear();
}

std::optional<json> delivered_chunks::continuation(const json& body)
{
    parse_pending();
    if (m_is_not_resumable)
        return std::nullopt;
    json out = body;
    if (!m_text.empty())
    {
        out["messages"].push_back({{"role", "assistant"}, {"content", m_text}});
        out["continue_final_message"] = true;
        out["add_generation_prompt"] = false;
    }
    for (const char* field : {"max_tokens", "max_completion_tokens"})
    {
        const auto it = out.find(field);
        if (it == out.end() || !it->is_number_integer())
            continue;
        const auto left = it->get<std::int64_t>() - m_tokens;
        if (left < 1)
            return std::nullopt;
        *it = left;
    }
    return out;
}

} // namespace kumquatgap::protocol
