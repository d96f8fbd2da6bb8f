#pragma once
/// The way of a call from its caller to an endpoint and back.
/// This is the library's one public header.
#include "forwarding/call_gateway.h"
