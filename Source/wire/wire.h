#pragma once
/// Messaging between the processes of a cluster: protobuf over ZeroMQ, run by one control thread.
/// This is the library's only public header.
#include "wire/control_loop.h"
#include "wire/generated/pistachiolatch.pb.h"
#include "wire/transport.h"
#include "wire/wire_settings.h"
