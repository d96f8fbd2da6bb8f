#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// Parses the body of POST /announce. Errors: the first malformed field and its problem. Thread safety: any thread.
result<wire::endpoint_announcement> parseAnnouncement(const std::string& text);

} // namespace pistachiolatch
