#include "common/trace.hpp"

#include "common/log.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <random>

namespace kumquatgap::common
{

namespace
{

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t traceparent_length = 55;

bool is_hex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c)
                               { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

std::mt19937_64& random_generator()
{
    static std::mt19937_64 s_generator{std::random_device{}()};
    return s_generator;
}

/// True for `00-<32 hex>-<16 hex>-<2 hex>`.
bool is_traceparent(std::string_view text)
{
    return text.size() == traceparent_length && text.starts_with("00-") && text[35] == '-' &&
           text[52] == '-' && is_hex(text.substr(3, trace_id_digits)) &&
           is_hex(text.substr(36, span_id_digits));
}

} // namespace

std::string random_id()
{
    return fmt::format("{:016x}", random_generator()());
}

span start_span(std::string_view traceparent, timestamp at)
{
    if (!is_traceparent(traceparent))
        return {random_id() + random_id(), random_id(), {}, at};
    return {std::string{traceparent.substr(3, trace_id_digits)}, random_id(),
            std::string{traceparent.substr(36, span_id_digits)}, at};
}

std::string traceparent(const span& s)
{
    return "00-" + s.trace_id + "-" + s.span_id + "-01";
}

void end_span(const span& s, std::string_view name, timestamp at, std::int64_t code)
{
    log(log_level::info, "span",
        {{"name", name},
         {"trace_id", s.trace_id},
         {"span_id", s.span_id},
         {"parent_id", s.parent_id},
         {"length_ms", (at - s.started).count()},
         {"code", code}});
}

} // namespace kumquatgap::common
