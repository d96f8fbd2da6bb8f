#pragma once
/// Public header of the replicated log: the Raft core, its storage, and the host that connects the two.
#include "consensus/file_log_store.h"
#include "consensus/memory_log_store.h"
#include "consensus/raft_core.h"
#include "consensus/raft_host.h"
#include "consensus/write_queue.h"
