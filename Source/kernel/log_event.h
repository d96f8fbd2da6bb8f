#pragma once
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// One key=value pair of a log line.
struct log_field {
    std::string_view key;
    std::string value;

    log_field(std::string_view k, std::string_view v)
        : key(k)
        , value(v)
    {
    }
    template <typename T>
    requires std::is_arithmetic_v<T>
    log_field(std::string_view k, T v)
        : key(k)
        , value(fmt::format("{}", v))
    {
    }
};

/// Formats one line of key=value pairs; a value with a space, quote or control character is quoted and escaped.
/// Thread safety: any thread.
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Writes one event to standard output with a wall-clock time in front; never waits for its reader (log_sink).
/// Thread safety: any thread; lines never mix.
void logEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Names the process in each further log line. Precondition: called before any other thread starts.
void setLogProcess(std::string_view program, std::string_view vm);

} // namespace pistachiolatch
