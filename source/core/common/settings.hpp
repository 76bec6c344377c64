#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::common
{

inline constexpr std::int64_t max_port = 65535;

/// A text setting. When it is required, the value must not be empty, and the file must set it
/// unless the target has a default.
struct text_setting
{
    std::string* target;
    bool required = true;
};

/// An integer setting with inclusive bounds.
struct number_setting
{
    std::int64_t* target;
    std::int64_t min_value;
    std::int64_t max_value;
};

/// A decimal number setting with inclusive bounds.
struct decimal_setting
{
    double* target;
    double min_value;
    double max_value;
};

/// A duration setting in milliseconds with inclusive bounds.
struct duration_setting
{
    milliseconds* target;
    milliseconds min_value;
    milliseconds max_value;
};

/// A Boolean setting, `true` or `false`.
struct flag_setting
{
    bool* target;
};

/// A setting with one of the given values.
struct choice_setting
{
    std::string* target;
    std::vector<std::string> choices;
};

/// An address setting, `ip:port`.
struct address_setting
{
    std::string* target;
    bool required = true;
};

/// A table as a list of `KEY:VALUE`, separated by commas. The list may be empty.
struct table_setting
{
    std::map<std::string, std::string, std::less<>>* target;
};

using setting = std::variant<text_setting, number_setting, decimal_setting, duration_setting,
                             flag_setting, choice_setting, address_setting, table_setting>;

/// One error in a settings file; line 0 means the file as a whole.
struct settings_error
{
    int line = 0;
    std::string text;
};

/// The settings of a program: sections, keys, types and bounds. Reading a file sets the targets and
/// returns all errors at once.
class settings_schema
{
public:
    /// Declares a key of a section. The target keeps its value when the file does not set the key.
    void add(std::string section, std::string key, setting s);

    /// Reads INI text and then the environment: a variable `KQG_SECTION_KEY` goes before the text's
    /// value of that key. The targets must not be used when the returned list is not empty.
    std::vector<settings_error> read(std::string_view text) const;

    /// The keys, as `section.key`, whose values differ from those of another schema with the same
    /// keys.
    std::vector<std::string> differences(const settings_schema& other) const;

private:
    std::map<std::pair<std::string, std::string>, setting> m_settings;
};

/// An IP address and port; port 0 means no address.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses `ip:port`. A malformed address gives port 0.
socket_address parse_address(std::string_view text);

} // namespace kumquatgap::common
