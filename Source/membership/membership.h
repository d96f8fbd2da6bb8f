#pragma once
/// Cluster membership: leased sessions of the processes, shard ownership and announced endpoints.
/// The only public header of this library.
#include "membership/endpoint_directory.h"
#include "membership/endpoint_table.h"
#include "membership/session_lease.h"
#include "membership/session_table.h"
#include "membership/shard_assigner.h"
