#include "forwarding/repeat_policy.h"

namespace pistachiolatch {

namespace {
    /// With less time left than this, another send can't bring an answer; it would only take an endpoint's time.
    constexpr milliseconds leastTimeForSend { 30 };
}

next_step afterFailedSend(const failed_send& failed)
{
    bool unrun = failed.end == attempt_end::NotSent || failed.end == attempt_end::RefusedUnrun;
    bool timeLeft = failed.timeLeft >= leastTimeForSend;
    bool ranNowhere = failed.mayHaveRunAt == 0;
    bool idempotent = failed.kind == call_kind::Idempotent || (failed.kind == call_kind::Stream && failed.resumable);
    bool mayGoOn = idempotent ? failed.mayHaveRunAt < failed.mostEndpoints : ranNowhere;
    if (timeLeft && mayGoOn && (unrun || idempotent))
        return next_step::SendAgain;
    return ranNowhere ? next_step::RefuseNotRun : next_step::FailMayHaveRun;
}

} // namespace pistachiolatch
