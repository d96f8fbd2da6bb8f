#pragma once
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachiolatch {

/// Key and value of one field in a log line.
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

/// Formats an event as key=value pairs without a line break. Values that are empty or contain spaces, quotes, equals
/// signs, backslashes, control characters or bytes that aren't UTF-8 are quoted and escaped, so that neither callers nor
/// endpoints can write log lines. Thread safety: any thread.
std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Writes an event with a UTC timestamp to standard output. Never blocks; see log_sink.
/// Thread safety: any thread; lines are not interleaved.
void logEvent(std::string_view event, std::initializer_list<log_field> fields);

/// Sets the program and VM names that prefix every later log line. Precondition: called before any other thread starts.
void setLogProcess(std::string_view program, std::string_view vm);

} // namespace pistachiolatch
