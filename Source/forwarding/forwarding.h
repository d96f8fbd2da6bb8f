#pragma once
/// Forwards calls from callers to endpoints and the responses back.
/// This is the library's only public header.
#include "forwarding/call_gateway.h"
#include "forwarding/relay_server.h"
