#include "cases.hpp"
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <sstream>

namespace {

constexpr int could_not_run = 2;

void stop(int) {
    heathermoor::review::world::request_end();
}

} // namespace

int main(int argc, char **argv) {
    using namespace heathermoor::review;
    const std::map<std::string, case_function> cases{{"foreign-entry", &play_foreign_entry},
                                                     {"crowd", &play_crowd},
                                                     {"cancelled", &play_cancelled},
                                                     {"long-lists", &play_long_lists},
                                                     {"woken", &play_woken}};
    constexpr int words = 4;
    const auto found = argc == words ? cases.find(argv[1]) : cases.end();
    if(found == cases.end()) {
        fmt::print(stderr, "usage: review-3 CASE 'PROGRAM ARGUMENTS' RECORD\n");
        return could_not_run;
    }
    const auto *trouble = std::getenv("TROUBLE");
    std::vector<std::string> program;
    std::istringstream line{argv[2]};
    for(std::string word; line >> word;) {
        program.push_back(word);
    }
    (void)std::signal(SIGTERM, &stop);
    (void)std::signal(SIGINT, &stop);
    try {
        world played{program, argv[3]};
        if(!played.start_all()) {
            played.note("verdict could not run: the hosts are not ready");
            return could_not_run;
        }
        return found->second(played, trouble == nullptr || std::string_view{trouble} != "0");
    } catch(const std::exception &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return could_not_run;
    }
}
