#pragma once
#include "records/records.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// Converts records to the JSON format of the operator API. Thread safety: any thread.
std::string recordsToJson(const std::vector<wire::record>& records);
/// Parses a batch and brings the bodies of its records into canonical form. Errors: a description of what is malformed.
result<wire::submit_batch> batchFromJson(const std::string& text, const std::string& submitter);

} // namespace pistachiolatch
