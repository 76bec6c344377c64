#include "io/sse.hpp"

namespace kumquatgap::io
{

namespace
{

/// The value after `name:`, without the one optional leading space.
std::string_view field_value(std::string_view line, std::size_t colon)
{
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

} // namespace

sse_event parse_event(std::string_view text)
{
    sse_event out;
    while (!text.empty())
    {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
            continue;
        const auto name = line.substr(0, colon);
        if (name == "id")
            out.id = field_value(line, colon);
        else if (name == "event")
            out.event = field_value(line, colon);
        else if (name == "data")
            out.data = field_value(line, colon);
    }
    return out;
}

} // namespace kumquatgap::io
