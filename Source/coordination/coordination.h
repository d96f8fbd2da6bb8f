#pragma once
/// Exchange of configuration, endpoints, load and limits between the leader of the replicated document and the entries.
/// This is the library's one public header.
#include "coordination/control_link.h"
#include "coordination/endpoint_listener.h"
#include "coordination/entry_coordinator.h"
#include "coordination/relay_participant.h"
#include "coordination/retry_budget_client.h"
#include "coordination/token_limiter.h"
