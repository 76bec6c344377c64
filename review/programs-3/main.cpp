#include "deployment.hpp"

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

/// Runs one case: `review-3-case NAME FOLDER`, with TROUBLE=0 in the environment without its
/// disruption. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    const std::map<std::string, std::function<verdict(const case_options&)>> cases{
        {"repeat_after_late_extra_answer", repeat_after_late_extra_answer},
        {"late_order_after_takeover", late_order_after_takeover},
        {"stream_with_other_line_ends", stream_with_other_line_ends},
        {"answer_without_signature", answer_without_signature},
        {"head_on_stream", head_on_stream}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
    {
        std::cerr << "usage: review-3-case NAME FOLDER\n";
        return static_cast<int>(verdict::cannot_run);
    }
    const char* trouble = std::getenv("TROUBLE");
    try
    {
        const auto out =
            found->second({argv[2], trouble == nullptr || std::string{trouble} != "0"});
        return static_cast<int>(out);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << "\n";
        return static_cast<int>(verdict::cannot_run);
    }
}
