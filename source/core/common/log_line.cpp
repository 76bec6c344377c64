#include "common/log_line.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace kumquatgap::common
{

namespace
{

/// Removes a value, quoted or up to the next space, from the front of the text and returns it
/// without quotes and escapes.
std::string take_value(std::string_view& text)
{
    std::string out;
    if (!text.starts_with('"'))
    {
        const auto end = std::min(text.find(' '), text.size());
        out = text.substr(0, end);
        text.remove_prefix(end);
        return out;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"')
    {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        out += text.front();
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(1, text.size()));
    return out;
}

/// The last word before the log line, without the separators that log collectors put behind it.
std::string_view last_word(std::string_view text)
{
    constexpr std::string_view separators = " \t|:";
    const auto end = text.find_last_not_of(separators);
    if (end == std::string_view::npos)
        return {};
    text = text.substr(0, end + 1);
    const auto before = text.find_last_of(separators);
    return before == std::string_view::npos ? text : text.substr(before + 1);
}

std::string take_field(std::map<std::string, std::string, std::less<>>& fields,
                       std::string_view key)
{
    const auto it = fields.find(key);
    if (it == fields.end())
        return {};
    auto out = std::move(it->second);
    fields.erase(it);
    return out;
}

} // namespace

std::string_view log_line::field(std::string_view key) const
{
    const auto it = fields.find(key);
    return it == fields.end() ? std::string_view{} : it->second;
}

std::optional<log_line> read_log_line(std::string_view text)
{
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    log_line out;
    out.origin = last_word(text.substr(0, begin));
    text.remove_prefix(begin);
    while (!text.empty())
    {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key{text.substr(0, equals)};
        text.remove_prefix(equals + 1);
        out.fields.insert_or_assign(std::move(key), take_value(text));
        text.remove_prefix(std::min(text.find_first_not_of(" \r\n"), text.size()));
    }
    absl::Time time;
    if (!absl::ParseTime(absl::RFC3339_full, take_field(out.fields, "time"), &time, nullptr))
        return std::nullopt;
    out.time = std::chrono::time_point_cast<std::chrono::milliseconds>(absl::ToChronoTime(time));
    out.level = take_field(out.fields, "level");
    out.program = take_field(out.fields, "program");
    out.event = take_field(out.fields, "event");
    return out.event.empty() ? std::nullopt : std::optional{out};
}

} // namespace kumquatgap::common
