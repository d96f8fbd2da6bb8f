#pragma once
#include "kernel/kernel.h"
#include <string>

namespace pistachiolatch {

/// Returns the canonical form of a JSON object: sorted keys, no white space. Equivalent objects have equal canonical forms.
/// Errors: not JSON, or not an object. Thread safety: any thread.
result<std::string> canonicalJson(const std::string& text);

} // namespace pistachiolatch
