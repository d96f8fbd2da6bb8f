#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// Reads the body of POST /announce. Errors: what is malformed, with the field. Thread safety: any thread.
result<wire::endpoint_announcement> parseAnnouncement(const std::string& text);

} // namespace pistachiolatch
