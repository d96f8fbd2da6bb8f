#pragma once
/// Public header of the configuration records and of the state machine that applies the replicated log.
#include "records/canonical_json.h"
#include "records/config_view.h"
#include "records/control_state.h"
#include "records/ledger.h"
#include "records/record_types.h"
