#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Reads records from a TOML file as `get` writes it: [[kind]] tables with name, version, schema_version and the
/// body's fields. Errors: file, line, field and what to do.
result<std::vector<wire::record>> readRecordFile(const std::string& path);
/// Writes records as such a file's text, in a fixed order.
std::string writeRecordFile(std::vector<wire::record> records);
/// Reads the records of an answer of control. Errors: not the expected JSON.
result<std::vector<wire::record>> recordsFromAnswer(const std::string& body);

} // namespace pistachiolatch
