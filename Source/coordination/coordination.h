#pragma once
/// What the leader of the replicated document and the entries tell each other: configuration, endpoints, load, limits.
/// This is the library's one public header.
#include "coordination/control_link.h"
#include "coordination/endpoint_listener.h"
#include "coordination/entry_coordinator.h"
#include "coordination/token_limiter.h"
