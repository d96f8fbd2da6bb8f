#pragma once
#include "records/records.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// The operators' JSON form of records. Thread safety: any thread.
std::string recordsToJson(const std::vector<wire::record>& records);
/// Errors: what is malformed, in words. Bodies come out canonical.
result<wire::submit_batch> batchFromJson(const std::string& text, const std::string& submitter);

} // namespace pistachiolatch
