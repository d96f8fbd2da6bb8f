#pragma once
#include "command/operator_client.h"
#include <string>

namespace pistachiolatch {

/// Commands that report what the fleet is and did. Each returns the exit code.
int commandStatus(const operator_client& client);
int commandEvents(const operator_client& client);
int commandExplain(const operator_client& client, const std::string& requestId);
/// Makes what settings files need: a CURVE key pair for the wire, or an operator's token with its digest.
int commandWireKeys();
int commandOperatorToken();

} // namespace pistachiolatch
