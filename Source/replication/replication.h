#pragma once
/// The replicated configuration document.
/// This is the library's one public header.
#include "replication/document_replica.h"
#include "replication/replica_identity.h"
