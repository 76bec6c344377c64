#include "protocol/resume.hpp"

namespace kumquatgap::protocol
{

using nlohmann::json;

namespace
{

/// The text that a chunk adds to the first choice; none for a chunk of another form.
std::optional<std::string> text_of(const std::string& data)
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
    ++m_count;
    m_bytes += data.size();
    if (m_bytes <= max_bytes)
        m_chunks.emplace_back(data);
    else
        m_chunks.clear();
}

std::optional<json> delivered_chunks::continuation(const json& body) const
{
    if (m_chunks.size() != m_count)
        return std::nullopt;
    std::string text;
    std::int64_t tokens = 0;
    for (const auto& it : m_chunks)
    {
        const auto part = text_of(it);
        if (!part)
            return std::nullopt;
        text += *part;
        tokens += part->empty() ? 0 : 1;
    }
    json out = body;
    if (!text.empty())
    {
        out["messages"].push_back({{"role", "assistant"}, {"content", text}});
        out["continue_final_message"] = true;
        out["add_generation_prompt"] = false;
    }
    for (const char* field : {"max_tokens", "max_completion_tokens"})
    {
        const auto it = out.find(field);
        if (it == out.end() || !it->is_number_integer())
            continue;
        const auto left = it->get<std::int64_t>() - tokens;
        if (left < 1)
            return std::nullopt;
        *it = left;
    }
    return out;
}

} // namespace kumquatgap::protocol
