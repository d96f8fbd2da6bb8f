#pragma once
/// Messages between the system's processes: protobuf over ZeroMQ, driven by one control thread.
/// This is the library's one public header.
#include "wire/control_loop.h"
#include "wire/generated/pistachiolatch.pb.h"
#include "wire/transport.h"
#include "wire/wire_settings.h"
