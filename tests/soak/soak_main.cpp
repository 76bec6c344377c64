#include "soak_world.hpp"

#include "common/text.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, first_seed, 1, "The first seed.");
ABSL_FLAG(std::uint64_t, seeds, 1, "How many seeds to run, one after the other.");
ABSL_FLAG(int, seconds, 8, "How long faults go on in each run.");
ABSL_FLAG(std::string, failed_seeds, "",
          "A file of seeds that have failed once, which are run too: a seed at the start of each "
          "line, then its cause.");

namespace
{

std::vector<std::uint64_t> read_seeds(const std::string& path)
{
    std::vector<std::uint64_t> out;
    std::ifstream file{path};
    std::string line;
    while (std::getline(file, line))
    {
        std::uint64_t seed = 0;
        if (kumquatgap::common::parse_number(line.substr(0, line.find(' ')), seed))
            out.push_back(seed);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    auto seeds = read_seeds(absl::GetFlag(FLAGS_failed_seeds));
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
        seeds.push_back(absl::GetFlag(FLAGS_first_seed) + i);
    bool is_whole = true;
    for (const auto seed : seeds)
    {
        kumquatgap::soak::soak_world world{seed,
                                           std::chrono::seconds{absl::GetFlag(FLAGS_seconds)}};
        const auto broken = world.run();
        std::cout << world.summary() << '\n';
        for (const auto& it : broken)
            std::cout << "  " << it << '\n';
        std::cout.flush();
        is_whole = is_whole && broken.empty();
    }
    return is_whole ? 0 : 1;
}
