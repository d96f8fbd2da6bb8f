#pragma once
#include "kernel/kernel.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Where the operator's command finds control, and who the operator is.
struct command_settings {
    std::vector<std::string> controls;
    std::string token;
};

/// Reads the command's settings file. Errors: every problem found, one a line.
result<command_settings> readCommandSettings(const std::string& path);

} // namespace pistachiolatch
