#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgap::io
{

/// Header fields in the order of arrival or of sending.
class header_list
{
public:
    header_list() = default;
    header_list(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields{fields}
    {
    }

    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }
    /// The value of the first field with this name, compared without regard to case; empty when
    /// there is none.
    std::string_view find(std::string_view name) const;

    /// The memory of the list itself, without the text of its fields.
    std::size_t capacity_bytes() const { return m_fields.capacity() * sizeof(m_fields[0]); }

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// True for the status of a response that ends a call; interim responses (1xx) don't.
constexpr bool is_final_status(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// An HTTP request, received or to be sent.
struct http_request
{
    std::string method;
    std::string path;
    std::string query = {};
    header_list headers = {};
    std::string body = {};
};

/// An HTTP response with its complete body.
struct http_response
{
    int status = 0;
    header_list headers = {};
    std::string body = {};
};

/// The first value of a query parameter; empty when it is missing.
std::string query_parameter(std::string_view query, std::string_view name);

} // namespace kumquatgap::io
