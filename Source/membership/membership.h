#pragma once
/// Who takes part: sessions of the own processes under leases, owners of shards, announced endpoints.
/// This is the library's one public header.
#include "membership/endpoint_directory.h"
#include "membership/endpoint_table.h"
#include "membership/session_lease.h"
#include "membership/session_table.h"
#include "membership/shard_assigner.h"
