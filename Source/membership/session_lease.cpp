#include "membership/session_lease.h"

namespace pistachiolatch {

static_assert(schedulerLease > sessionHeartbeat * 3, "A lease must outlive lost heartbeats.");

} // namespace pistachiolatch
