#pragma once
/// Placement of requests on endpoints: pools, reservations, queues, policies.
/// This is the library's only public header.
#include "scheduling/endpoint_pacer.h"
#include "scheduling/engine_planner.h"
#include "scheduling/organisation_waits.h"
#include "scheduling/output_estimator.h"
#include "scheduling/placement_queue.h"
#include "scheduling/poison_list.h"
#include "scheduling/pool.h"
#include "scheduling/slot_planner.h"
#include "scheduling/slowdown_estimate.h"
