#pragma once
#include "command/operator_client.h"
#include <string>

namespace pistachiolatch {

/// Commands that print the fleet's state, its events and the history of a request. Each returns the exit code.
int commandStatus(const operator_client& client);
int commandEvents(const operator_client& client);
int commandExplain(const operator_client& client, const std::string& requestId);
/// Generate values for settings files: a CURVE key pair for [wire], or an operator's token with its digest.
int commandWireKeys();
int commandOperatorToken();

} // namespace pistachiolatch
