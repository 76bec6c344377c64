#include "common/settings.hpp"

#include "common/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <set>
#include <vector>

namespace kumquatgap::common
{

namespace
{

/// Parses one value into its target; returns an error text, empty when the value is valid.
struct value_parser
{
    std::string_view value;

    std::string operator()(const text_setting& s) const
    {
        if (value.empty() && s.required)
            return "must not be empty";
        *s.target = value;
        return {};
    }

    std::string operator()(const number_setting& s) const
    {
        std::int64_t n = 0;
        if (!common::parse_number(value, n))
            return common::concat("'", value, "' is not a whole number");
        if (n < s.min_value || n > s.max_value)
            return common::concat(n, " is not between ", s.min_value, " and ", s.max_value);
        *s.target = n;
        return {};
    }

    std::string operator()(const decimal_setting& s) const
    {
        double n = 0;
        const auto* end = value.data() + value.size();
        const auto [at, ec] = std::from_chars(value.data(), end, n);
        if (ec != std::errc{} || at != end)
            return common::concat("'", value, "' is not a number");
        if (n < s.min_value || n > s.max_value)
            return common::concat(n, " is not between ", s.min_value, " and ", s.max_value);
        *s.target = n;
        return {};
    }

    std::string operator()(const duration_setting& s) const
    {
        std::int64_t n = 0;
        auto text = (*this)(number_setting{&n, s.min_value.count(), s.max_value.count()});
        if (text.empty())
            *s.target = milliseconds{n};
        return text;
    }

    std::string operator()(const flag_setting& s) const
    {
        if (value != "true" && value != "false")
            return common::concat("'", value, "' is neither true nor false");
        *s.target = value == "true";
        return {};
    }

    std::string operator()(const choice_setting& s) const
    {
        if (std::ranges::find(s.choices, value) == s.choices.end())
            return common::concat("'", value, "' is not one of: ", absl::StrJoin(s.choices, ", "));
        *s.target = value;
        return {};
    }

    std::string operator()(const address_setting& s) const
    {
        if (value.empty() && !s.required)
            return {};
        if (parse_address(value).port == 0)
            return common::concat("'", value, "' is not ip:port");
        *s.target = value;
        return {};
    }

    std::string operator()(const table_setting& s) const
    {
        s.target->clear();
        const std::vector<std::string> items =
            absl::StrSplit(std::string{value}, ',', absl::SkipWhitespace());
        for (const auto& item : items)
        {
            const auto colon = std::min(item.find(':'), item.size());
            const std::string key{absl::StripAsciiWhitespace(item.substr(0, colon))};
            const std::string text{
                absl::StripAsciiWhitespace(item.substr(std::min(colon + 1, item.size())))};
            if (key.empty() || text.empty())
                return common::concat("'", item, "' is not KEY:VALUE");
            if (!s.target->emplace(key, text).second)
                return common::concat("'", key, "' stands twice");
        }
        return {};
    }
};

/// True when a key that the file does not set is required and its target has no default.
struct is_missing
{
    bool operator()(const text_setting& s) const { return s.required && s.target->empty(); }
    bool operator()(const address_setting& s) const { return s.required && s.target->empty(); }
    bool operator()(const auto&) const { return false; }
};

/// A setting's value as text.
struct value_writer
{
    std::string operator()(const duration_setting& s) const
    {
        return std::to_string(s.target->count());
    }
    std::string operator()(const table_setting& s) const
    {
        std::string out;
        for (const auto& [key, text] : *s.target)
            out += common::concat(key, ":", text, ",");
        return out;
    }
    std::string operator()(const auto& s) const { return common::concat(*s.target); }
};

/// State of one pass over the text, for inih's callbacks.
struct read_state
{
    const std::map<std::pair<std::string, std::string>, setting>& known;
    std::string_view rest;
    int line = 0;
    std::set<std::pair<std::string, std::string>> seen = {};
    std::vector<settings_error> errors = {};
    /// The value of a line that is longer than inih's buffer.
    std::optional<std::string> long_value = {};
};

/// The longest line of a settings file. A table of 100 data centres takes about 2,000 bytes.
constexpr std::size_t max_line_bytes = 4096;

/// The value in a line `key = value ; comment`.
std::string value_in(std::string_view line)
{
    const auto value = line.substr(std::min(line.find_first_of("=:"), line.size() - 1) + 1);
    return std::string{absl::StripAsciiWhitespace(std::string{value.substr(0, value.find(" ;"))})};
}

/// Line reader for inih: copies the next line and counts it. inih gets only the beginning of a line
/// longer than its buffer, 200 bytes; the whole value is kept for handle_value().
char* next_line(char* buf, int size, void* arg)
{
    auto& state = *static_cast<read_state*>(arg);
    if (state.rest.empty())
        return nullptr;
    const auto end = std::min(state.rest.find('\n'), state.rest.size() - 1) + 1;
    const auto n = std::min(end, static_cast<std::size_t>(size) - 1);
    std::memcpy(buf, state.rest.data(), n);
    buf[n] = '\0';
    state.long_value.reset();
    if (end > max_line_bytes)
        state.errors.push_back({state.line + 1, "the line is too long"});
    else if (n < end)
        state.long_value = value_in(state.rest.substr(0, end));
    state.rest.remove_prefix(end);
    ++state.line;
    return buf;
}

/// Key handler for inih. Returns 1 also for errors, which are collected, so that parsing goes on.
int handle_value(void* arg, const char* section, const char* key, const char* value)
{
    auto& state = *static_cast<read_state*>(arg);
    const auto id = std::pair<std::string, std::string>{section, key};
    const auto it = state.known.find(id);
    if (it == state.known.end())
    {
        state.errors.push_back({state.line, common::concat("unknown key [", section, "] ", key)});
        return 1;
    }
    if (!state.seen.insert(id).second)
        state.errors.push_back(
            {state.line, common::concat("[", section, "] ", key, " stands twice")});
    const std::string_view whole = state.long_value ? std::string_view{*state.long_value} : value;
    const auto text = std::visit(value_parser{whole}, it->second);
    if (!text.empty())
        state.errors.push_back({state.line, common::concat("[", section, "] ", key, ": ", text)});
    return 1;
}

/// The environment variable that sets a key, such as KQG_STORE_APPLY_MS.
std::string variable_name(const std::pair<std::string, std::string>& id)
{
    return absl::AsciiStrToUpper(common::concat("KQG_", id.first, "_", id.second));
}

/// Sets the keys that the environment names. They go before the file's.
void read_environment(read_state& state)
{
    for (const auto& [id, s] : state.known)
    {
        const auto name = variable_name(id);
        const char* value = std::getenv(name.c_str());
        if (value == nullptr)
            continue;
        state.seen.insert(id);
        const auto text = std::visit(value_parser{value}, s);
        if (!text.empty())
            state.errors.push_back({0, common::concat(name, ": ", text)});
    }
}

} // namespace

void settings_schema::add(std::string section, std::string key, setting s)
{
    m_settings.insert_or_assign({std::move(section), std::move(key)}, s);
}

std::vector<settings_error> settings_schema::read(std::string_view text) const
{
    read_state state{m_settings, text};
    const int first_bad_line = ini_parse_stream(next_line, &state, handle_value, &state);
    if (first_bad_line > 0)
        state.errors.push_back({first_bad_line, "is neither a section, a key nor a comment"});
    read_environment(state);
    for (const auto& [id, s] : m_settings)
    {
        if (!state.seen.contains(id) && std::visit(is_missing{}, s))
            state.errors.push_back(
                {0, common::concat("[", id.first, "] ", id.second, " is missing")});
    }
    std::ranges::stable_sort(state.errors, {}, &settings_error::line);
    return state.errors;
}

std::vector<std::string> settings_schema::differences(const settings_schema& other) const
{
    std::vector<std::string> out;
    for (const auto& [id, s] : m_settings)
    {
        const auto it = other.m_settings.find(id);
        if (it == other.m_settings.end() ||
            std::visit(value_writer{}, s) != std::visit(value_writer{}, it->second))
            out.push_back(common::concat(id.first, ".", id.second));
    }
    return out;
}

socket_address parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    std::int64_t port = 0;
    if (!common::parse_number(text.substr(colon + 1), port) || port < 1 || port > max_port)
        return {};
    return {std::string{text.substr(0, colon)}, static_cast<std::uint16_t>(port)};
}

} // namespace kumquatgap::common
