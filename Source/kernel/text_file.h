#pragma once
#include "kernel/result.h"
#include <string>

namespace pistachiolatch {

/// Reads a text file whole. Errors: it can't be read, or it holds bytes that no text file has (control characters,
/// broken UTF-8), with the line; parsers behind this need not cope with them.
result<std::string> readTextFile(const std::string& path);

} // namespace pistachiolatch
