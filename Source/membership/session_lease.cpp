#include "membership/session_lease.h"

namespace pistachiolatch {

static_assert(schedulerLease > sessionHeartbeat * 3, "A lease must outlast several lost heartbeats.");

} // namespace pistachiolatch
