#pragma once
// Not included by kernel.h because toml++ is a large header; include it only where TOML is parsed.
#include "kernel/text_file.h"
#include <fmt/format.h>
#include <stdexcept>

namespace pistachiolatch {

/// Replaces the assertions of toml++, some of which fail on malformed keys: an invalid file must be reported as an error
/// and not abort the process.
constexpr void requireWellFormed(bool condition)
{
    if (!condition)
        throw std::invalid_argument("malformed key");
}

} // namespace pistachiolatch

#define TOML_ASSERT(condition) ::pistachiolatch::requireWellFormed(static_cast<bool>(condition))
#include <toml++/toml.h>

namespace pistachiolatch {

/// Parses a TOML file. Errors: the file can't be read, or a syntax error with file and line. Thread safety: any thread.
inline result<toml::table> parseTomlFile(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto content, readTextFile(path));
    try {
        return toml::parse(content, path);
    } catch (const toml::parse_error& error) {
        return failure { fmt::format("{}:{}: not TOML: {}", path, error.source().begin.line, error.description()) };
    } catch (const std::invalid_argument& error) {
        return failure { fmt::format("{}: not TOML: {}", path, error.what()) };
    }
}

} // namespace pistachiolatch
