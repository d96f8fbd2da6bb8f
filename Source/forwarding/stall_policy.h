#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// Idle times of a stream whose connection is open.
struct idle_stream {
    milliseconds latencyTarget { 0 };
    /// The longest pause between two events that does not reduce the quality of service.
    milliseconds gapTarget { 0 };
    /// Time since the last data of the stream.
    milliseconds idleTime { 0 };
    /// Time since the last data from the stream's endpoint on any of this entry's connections.
    milliseconds endpointIdleTime { 0 };
};

/// Returns the longest pause in a stream that callers tolerate before they disconnect.
/// Pure. Thread safety: any thread.
milliseconds maxToleratedPause(milliseconds latencyTarget, milliseconds gapTarget);

/// Whether the endpoint has sent data on another stream since this one stalled, so that only this stream is waiting.
/// Pure. Thread safety: any thread.
bool isEndpointAlive(const idle_stream& stream);

/// Returns the idle time after which a stream should be migrated to another endpoint. It depends on the cause:
/// - The engine is unresponsive: none of its streams will continue. They must be migrated before their callers
///   disconnect.
/// - The engine is out of memory: it preempts one stream, continues the others and repeats the prefill once memory is
///   free. Migration would repeat the prefill too, on an engine with a similar load, so the timeout is longer.
/// Pure. Thread safety: any thread.
milliseconds stallTimeout(const idle_stream& stream);

} // namespace pistachiolatch
