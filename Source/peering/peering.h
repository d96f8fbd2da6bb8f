#pragma once
/// Messaging over TCP between the system's processes, for fleets whose members discover each other at run time.
/// This is the library's only public header.
#include "peering/peer_network.h"
