#include "common/result_code.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

using namespace kumquatgap::common;

namespace
{

std::string row_of(const result_code_info& it)
{
    constexpr std::string_view executed[] = {"not_run", "unknown", "ran"};
    return concat("| ", number(it.code), " | `", it.name, "` | ", it.http_status, " | ",
                  executed[static_cast<std::size_t>(it.executed)], " | ", it.text, " |");
}

std::string documentation()
{
    const std::ifstream file{SOURCE_ROOT "/docs/RESULT_CODES.md"};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Test(result_code, every_code_is_documented)
{
    const auto text = documentation();
    for (const auto& it : result_codes())
        cr_assert(text.find(row_of(it)) != std::string::npos, "missing: %s", row_of(it).c_str());
}

Test(result_code, documentation_has_no_other_codes)
{
    std::istringstream text{documentation()};
    std::size_t rows = 0;
    for (std::string line; std::getline(text, line);)
        rows += line.starts_with("| ") && line.find("| `") != std::string::npos ? 1 : 0;
    cr_assert_eq(rows, result_codes().size());
}

Test(result_code, codes_are_found_by_number)
{
    for (const auto& it : result_codes())
        cr_assert_eq(find_code(number(it.code)), &it);
    cr_assert_null(find_code(9999));
}
