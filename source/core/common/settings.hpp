#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::common
{

/// The largest TCP port.
inline constexpr std::int64_t max_port = 65535;

/// A setting of text; an empty default means that it must be given.
struct text_setting
{
    std::string* target;
    bool required = true;
};

/// A setting that is a whole number within bounds, both included.
struct number_setting
{
    std::int64_t* target;
    std::int64_t lowest;
    std::int64_t highest;
};

/// A setting that is a decimal number within bounds, both included.
struct decimal_setting
{
    double* target;
    double lowest;
    double highest;
};

/// A setting that is a time in milliseconds within bounds, both included.
struct duration_setting
{
    milliseconds* target;
    milliseconds lowest;
    milliseconds highest;
};

/// A setting that is `true` or `false`.
struct flag_setting
{
    bool* target;
};

/// An address written as `ip:port`.
struct address_setting
{
    std::string* target;
    bool required = true;
};

using setting = std::variant<text_setting, number_setting, decimal_setting, duration_setting,
                             flag_setting, address_setting>;

/// One mistake in a settings file; line 0 stands for the file as a whole.
struct settings_error
{
    int line = 0;
    std::string text;
};

/// The settings a program knows: sections, keys, types and bounds. Reading a file fills in the
/// targets and returns every mistake at once.
class settings_schema
{
public:
    /// Declares a key of a section. The target keeps its value when the file does not name the key.
    void add(std::string section, std::string key, setting s);

    /// Reads INI text. Nothing may be used when the returned list is not empty.
    std::vector<settings_error> read(std::string_view text) const;

    /// The keys, as `section.key`, whose values differ from those of another schema with the same
    /// keys.
    std::vector<std::string> differences(const settings_schema& other) const;

private:
    std::map<std::pair<std::string, std::string>, setting> m_settings;
};

/// Splits `ip:port`; the port is 0 when the text is not an address.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;
};

/// Reads `ip:port`. An address that is malformed has port 0.
socket_address parse_address(std::string_view text);

} // namespace kumquatgap::common
