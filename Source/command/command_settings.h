#pragma once
#include "kernel/kernel.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Settings of the operator's command: the control addresses and the operator's token.
struct command_settings {
    std::vector<std::string> controlAddresses;
    std::string token;
};

/// Reads and validates the settings file. Errors: all problems found, one per line.
result<command_settings> readCommandSettings(const std::string& path);

} // namespace pistachiolatch
