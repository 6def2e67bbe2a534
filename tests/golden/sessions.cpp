#include "support/loopback_deployment.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace heathermoor::test;

namespace {

/// Sends the requests of a session file and returns the file with the actual answers.
///
/// Lines of a session: `> METHOD PATH TOKEN [BODY]` sends a request, `! MODE` sets how the target behaves, `? TASK` asks
/// how often the target started a task, `# TEXT` is a comment. `<` and `=` begin the recorded answers, which are replaced.
[[nodiscard]] std::string replay(loopback_deployment &system, const std::string &session) {
    std::string out;
    std::istringstream lines{session};
    std::string line;
    while(std::getline(lines, line)) {
        std::istringstream words{line};
        std::string kind;
        words >> kind;
        if(kind == "#" || line.empty()) {
            out += line + "\n";
        } else if(kind == "!") {
            std::string mode;
            words >> mode;
            system.set_target_mode(mode);
            out += line + "\n";
        } else if(kind == "?") {
            std::string task;
            words >> task;
            out += line + "\n= " + std::to_string(system.starts(task)) + "\n";
        } else if(kind == ">") {
            std::string method;
            std::string path;
            std::string token;
            std::string body;
            words >> method >> path >> token >> std::ws;
            std::getline(words, body);
            const auto [status, answer] = system.send(method, path, body, token);
            out += line + "\n< " + std::to_string(status) + " " + answer + (answer.empty() || answer.back() != '\n' ? "\n" : "");
        }
    }
    return out;
}

void check_session(const std::string &deployment, const std::vector<std::string> &files, const std::string &pool) {
    std::vector<std::string> documents;
    documents.reserve(files.size());
    for(const auto &file: files) {
        documents.push_back(read_source_file("examples/" + deployment + "/" + file));
    }
    loopback_deployment system{documents, pool};
    REQUIRE(system.wait_until_ready());
    const auto path = "tests/golden/" + deployment + ".session";
    const auto expected = read_source_file(path);
    const auto actual = replay(system, expected);
    if(std::getenv("HEATHERMOOR_UPDATE_GOLDEN") != nullptr) {
        std::ofstream{std::string{HEATHERMOOR_SOURCE_DIR} + "/" + path} << actual;
    }
    CHECK(actual == expected);
}

} // namespace

TEST_CASE("The requests of a matloom session get the recorded answers", "[golden]") {
    check_session("caroni", {"stock.yaml", "matloom.yaml"}, "loom");
}

TEST_CASE("The requests of a fill-service session get the recorded answers", "[golden]") {
    check_session("ballastwerk", {"fill.yaml", "fill-service.yaml"}, "ballast");
}
