#pragma once
#include "kernel/result.h"
#include <string>

namespace pistachiolatch {

/// Reads a whole text file. Errors: the file can't be read, or contains control characters or invalid UTF-8, so that
/// parsers need not handle these. The message includes the line.
result<std::string> readTextFile(const std::string& path);

} // namespace pistachiolatch
