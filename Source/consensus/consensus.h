#pragma once
/// The replicated log: a pure core, its files, and the loop step that joins the two.
/// This is the library's one public header.
#include "consensus/file_log_store.h"
#include "consensus/memory_log_store.h"
#include "consensus/raft_core.h"
#include "consensus/raft_host.h"
