#pragma once
#include "kernel/kernel.h"
#include <string>

namespace pistachiolatch {

/// The one spelling of a JSON object: keys sorted, no white space. Two bodies mean the same exactly if these are equal.
/// Errors: not JSON, or no object. Thread safety: any thread.
result<std::string> canonicalJson(const std::string& text);

} // namespace pistachiolatch
