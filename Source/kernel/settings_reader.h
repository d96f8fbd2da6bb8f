#pragma once
#include "kernel/result.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// Reads and validates a TOML settings file. Getters take a dotted key, and return a default where the value is missing
/// or invalid; finish() reports all errors with file, line, key and how to correct them.
/// Not thread-safe.
class settings_reader {
public:
    /// Errors: the file can't be read or is not valid TOML.
    static result<settings_reader> load(const std::string& path);

    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// Returns a required, non-empty string.
    std::string text(const std::string& key);
    /// Returns an optional string.
    std::string text(const std::string& key, const std::string& fallback);
    /// Returns an optional integer within inclusive bounds.
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    /// Returns an optional duration in milliseconds, from 1 ms to one day. Precondition: the key ends in "_ms".
    std::chrono::milliseconds millis(const std::string& key, std::chrono::milliseconds fallback);
    /// Returns an optional number within inclusive bounds.
    double number(const std::string& key, double fallback, double minimum, double maximum);
    bool flag(const std::string& key, bool fallback);
    /// Returns an optional list of strings.
    std::vector<std::string> texts(const std::string& key);
    /// Returns an optional array of tables, each of which must have exactly these string keys.
    std::vector<std::map<std::string, std::string>> tables(const std::string& key, const std::set<std::string>& fields);
    /// Returns a required IPv4 address and port such as 127.0.0.1:8080.
    std::string address(const std::string& key);
    /// Returns an optional IPv4 address and port.
    std::string address(const std::string& key, const std::string& fallback);
    /// Adds an error for a key, for rules that the getters can't check.
    void reject(const std::string& key, const std::string& problem);

    /// Checks for unknown keys. Errors: all errors found, one per line.
    result<void> finish();

private:
    struct impl;
    settings_reader();
    std::unique_ptr<impl> m_impl;
};

/// Checks for an IPv4 address followed by a port from 0 to 65535. Thread safety: any thread.
bool isAddress(const std::string& text);

} // namespace pistachiolatch
