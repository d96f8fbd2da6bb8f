#include "Support/golden.h"

#include "Support/child_process.h"
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace pistachiolatch::test {

std::string normalise(std::string text, const std::vector<std::pair<std::string, std::string>>& replacements)
{
    for (const auto& [pattern, replacement] : replacements)
        text = std::regex_replace(text, std::regex(pattern), replacement);
    return text;
}

std::string compareWithExpected(const std::string& file, const std::string& session)
{
    auto path = std::string(PISTACHIOLATCH_TESTS_FOLDER) + "/" + file;
    if (std::getenv("PISTACHIOLATCH_UPDATE_EXPECTED")) {
        std::ofstream(path) << session;
        return {};
    }
    std::istringstream wanted(readFile(path));
    std::istringstream got(session);
    std::string wantedLine;
    std::string gotLine;
    for (int number = 1;; ++number) {
        bool moreWanted = static_cast<bool>(std::getline(wanted, wantedLine));
        bool moreGot = static_cast<bool>(std::getline(got, gotLine));
        if (!moreWanted && !moreGot)
            return {};
        if (moreWanted != moreGot || wantedLine != gotLine)
            return file + ":" + std::to_string(number) + "\n  expected: " + (moreWanted ? wantedLine : "(end)") + "\n  got:      " + (moreGot ? gotLine : "(end)");
    }
}

} // namespace pistachiolatch::test
