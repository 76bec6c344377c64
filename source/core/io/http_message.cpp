#include "io/http_message.hpp"

#include "common/text.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace kumquatgap::io
{

std::string_view header_list::find(std::string_view name) const
{
    const auto it = std::ranges::find_if(m_fields, [&](const auto& field)
                                         { return common::equals_ignore_case(field.first, name); });
    return it == m_fields.end() ? std::string_view{} : std::string_view{it->second};
}

std::string query_parameter(std::string_view query, std::string_view name)
{
    evkeyvalq fields{};
    if (evhttp_parse_query_str(std::string{query}.c_str(), &fields) != 0)
        return {};
    const char* value = evhttp_find_header(&fields, std::string{name}.c_str());
    std::string out = value == nullptr ? "" : value;
    evhttp_clear_headers(&fields);
    return out;
}

} // namespace kumquatgap::io
