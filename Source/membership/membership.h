#pragma once
/// Cluster membership: leased sessions of the processes, shard ownership, announced endpoints and evacuated data
/// centres.
/// The only public header of this library.
#include "membership/endpoint_directory.h"
#include "membership/endpoint_report_check.h"
#include "membership/endpoint_table.h"
#include "membership/evacuation_table.h"
#include "membership/session_lease.h"
#include "membership/session_table.h"
#include "membership/shard_assigner.h"
#include "membership/software_version.h"
