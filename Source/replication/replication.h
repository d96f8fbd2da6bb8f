#pragma once
/// Replication of the configuration document and of the evacuations of data centres.
/// This is the library's one public header.
#include "replication/document_replica.h"
#include "replication/replica_identity.h"
