#pragma once
/// What operators submit, what is in force, and the state machine that the replicated log drives.
/// This is the library's one public header.
#include "records/canonical_json.h"
#include "records/config_view.h"
#include "records/control_state.h"
#include "records/ledger.h"
#include "records/record_types.h"
