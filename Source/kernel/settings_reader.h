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

/// Reads one TOML settings file with every key checked. Each getter takes a dotted key; what is wrong is
/// collected and reported by finish(), with file, line, key and what to do.
/// Thread safety: used by one thread while the process starts.
class settings_reader {
public:
    /// Errors: the file can't be read or is not TOML.
    static result<settings_reader> load(const std::string& path);

    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// A string that must be there and not be empty.
    std::string text(const std::string& key);
    /// A string that may be left out.
    std::string text(const std::string& key, const std::string& fallback);
    /// An integer between the bounds, both included.
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    /// A duration; the key ends in "_ms" and holds milliseconds.
    std::chrono::milliseconds millis(const std::string& key, std::chrono::milliseconds fallback);
    /// A number between the bounds, both included.
    double number(const std::string& key, double fallback, double least, double most);
    bool flag(const std::string& key, bool fallback);
    /// A list of strings; may be left out.
    std::vector<std::string> texts(const std::string& key);
    /// An array of tables, each with exactly these string keys; may be left out.
    std::vector<std::map<std::string, std::string>> tables(const std::string& key, const std::set<std::string>& fields);
    /// An IPv4 address and port such as 127.0.0.1:8080.
    std::string address(const std::string& key);
    std::string address(const std::string& key, const std::string& fallback);
    /// Adds an error about a key, for combinations that only the caller can judge.
    void reject(const std::string& key, const std::string& problem);

    /// Errors: every problem found, one a line; unknown keys are problems too.
    result<void> finish();

private:
    struct impl;
    settings_reader();
    std::unique_ptr<impl> m_impl;
};

/// Whether the text is an IPv4 address with a port from 0 to 65535. Thread safety: any thread.
bool isAddress(const std::string& text);

} // namespace pistachiolatch
