#include "kernel/log_event.h"

#include "kernel/log_sink.h"
#include "kernel/text_check.h"
#include <chrono>
#include <fmt/chrono.h>
#include <unistd.h>

namespace pistachiolatch {

namespace {
    std::string processPrefix;

    log_sink& sink()
    {
        static log_sink standardOutput(STDOUT_FILENO);
        return standardOutput;
    }

    /// Whether a value can't be told from the syntax of the line.
    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos || !isPlainText(value);
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line.append(value);
            return;
        }
        // Quotes and backslashes are escaped before line breaks and other bytes, whose escapes begin with a backslash.
        std::string escaped;
        for (char c : value) {
            if (c == '"' || c == '\\')
                escaped.push_back('\\');
            escaped.push_back(c);
        }
        line.push_back('"');
        line += toPlainText(escaped);
        line.push_back('"');
    }
}

std::string formatEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = fmt::format("event={}", event);
    for (const auto& field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    auto now = std::chrono::system_clock::now();
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    auto line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}{}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
        millis % 1000, processPrefix, formatEvent(event, fields));
    sink().write(line);
}

void setLogProcess(std::string_view program, std::string_view vm)
{
    processPrefix = fmt::format("program={} vm={} ", program, vm);
}

} // namespace pistachiolatch
