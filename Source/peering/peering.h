#pragma once
/// Messages between the system's own processes over TCP, for fleets whose members find each other at run time.
/// This is the library's one public header.
#include "peering/peer_network.h"
