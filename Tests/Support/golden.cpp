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
    std::istringstream expected(readFile(path));
    std::istringstream actual(session);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        bool hasExpected = static_cast<bool>(std::getline(expected, expectedLine));
        bool hasActual = static_cast<bool>(std::getline(actual, actualLine));
        if (!hasExpected && !hasActual)
            return {};
        if (hasExpected != hasActual || expectedLine != actualLine)
            return file + ":" + std::to_string(number) + "\n  expected: " + (hasExpected ? expectedLine : "(end)") + "\n  got:      " + (hasActual ? actualLine : "(end)");
    }
}

} // namespace pistachiolatch::test
