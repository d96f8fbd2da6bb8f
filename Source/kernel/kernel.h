#pragma once
/// Foundation library: clocks, results, reason codes, logging, settings, metrics and the service registry.
/// This is the library's only public header.
#include "kernel/clock_source.h"
#include "kernel/log_event.h"
#include "kernel/log_limiter.h"
#include "kernel/log_sink.h"
#include "kernel/metrics.h"
#include "kernel/process_identity.h"
#include "kernel/process_limits.h"
#include "kernel/reason.h"
#include "kernel/result.h"
#include "kernel/saturating_cast.h"
#include "kernel/service_registry.h"
#include "kernel/settings_reader.h"
#include "kernel/sha256.h"
#include "kernel/text_check.h"
#include "kernel/text_file.h"
