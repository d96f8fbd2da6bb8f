#pragma once
#include <string>
#include <utility>
#include <vector>

namespace pistachiolatch::test {

/// Replaces text that differs between runs, given as pairs of a regular expression and its replacement.
std::string normalise(std::string text, const std::vector<std::pair<std::string, std::string>>& replacements);

/// Compares a session with its expected-output file in Tests/. Returns an empty string or the first difference.
/// If PISTACHIOLATCH_UPDATE_EXPECTED is set, writes the file instead.
std::string compareWithExpected(const std::string& file, const std::string& session);

} // namespace pistachiolatch::test
