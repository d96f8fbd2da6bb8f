#pragma once
#include "command/operator_client.h"
#include <string>

namespace pistachiolatch {

/// Commands that read or change records. Each prints its result to standard output and errors to standard error,
/// and returns the exit code.
int commandGet(const operator_client& client, const std::string& kind, const std::string& name);
int commandDiff(const operator_client& client, const std::string& path);
int commandApply(const operator_client& client, const std::string& path);
int commandRemove(const operator_client& client, const std::string& kind, const std::string& name);
/// Orders the evacuation of a data centre, or withdraws it. Repeating an order changes nothing and succeeds.
int commandEvacuate(const operator_client& client, const std::string& dataCentre, bool evacuated);
int commandEvacuations(const operator_client& client);
int commandKeyIssue(const operator_client& client, const std::string& organisation);
int commandKeyWithdraw(const operator_client& client, const std::string& keyId);

} // namespace pistachiolatch
