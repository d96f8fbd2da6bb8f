#pragma once
// Not part of the public header: only files that read TOML include this, since the library is large.
#include "kernel/text_file.h"
#include <fmt/format.h>
#include <stdexcept>

namespace pistachiolatch {

/// Stands in for the TOML library's assertions, some of which malformed keys reach: a bad file must end in an error
/// message and not in an abort.
constexpr void requireWellFormed(bool condition)
{
    if (!condition)
        throw std::invalid_argument("malformed key");
}

} // namespace pistachiolatch

#define TOML_ASSERT(condition) ::pistachiolatch::requireWellFormed(static_cast<bool>(condition))
#include <toml++/toml.h>

namespace pistachiolatch {

/// Parses a TOML file. Errors: file, line and what is wrong. Thread safety: any thread.
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
