#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Reads records from a TOML file in the format that `get` prints: [[kind]] tables with name, version, schema_version
/// and the fields of the body. Errors name the file, line and field and how to correct them.
result<std::vector<wire::record>> readRecordFile(const std::string& path);
/// Formats records as the text of such a file, sorted by kind and name.
std::string formatRecords(std::vector<wire::record> records);
/// Parses the records in a response of control. Errors: not the expected JSON.
result<std::vector<wire::record>> parseRecordsResponse(const std::string& body);

} // namespace pistachiolatch
