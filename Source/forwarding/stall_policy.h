#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

/// A stream that has sent nothing for a while, though its connection is open.
struct quiet_stream {
    milliseconds latencyTarget { 0 };
    /// The longest pause between two events with which an answer is still as good as it gets.
    milliseconds gapTarget { 0 };
    /// How long the stream has been quiet.
    milliseconds quiet { 0 };
    /// How long nothing has come from its endpoint on any of this entry's connections.
    milliseconds endpointQuiet { 0 };
};

/// The longest pause that callers bear in a stream before they leave.
/// Pure. Thread safety: any thread.
milliseconds pauseCallersBear(milliseconds latencyTarget, milliseconds gapTarget);

/// Whether the endpoint has sent something since the stream fell quiet, so that it is alive and only this stream waits.
/// Pure. Thread safety: any thread.
bool endpointLives(const quiet_stream& stream);

/// How long a stream may be quiet before it had better go on at another endpoint. Two causes look alike at first:
/// - An engine that went dark: its streams all stop and never go on. They must move while their callers still wait.
/// - An engine whose memory ran out: it puts back one stream, the others go on, and it reads the prompt again as soon as
///   memory frees. Elsewhere the prompt would be read again too, at an engine that is about as full, so such a stream
///   stays longer.
/// Pure. Thread safety: any thread.
milliseconds quietAllowed(const quiet_stream& stream);

} // namespace pistachiolatch
