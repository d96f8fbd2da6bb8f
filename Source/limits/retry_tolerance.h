#pragma once
#include "kernel/kernel.h"

namespace pistachiolatch {

enum class retry_need {
    /// Without the retry the call fails.
    Required,
    /// The call goes on without the retry, only slower.
    Optional,
};

/// The retries that all entries of a fleet together may make for a service in any window, and how they are divided. Each part
/// is bounded by itself, so that no process has to know what the others spent: what entries earn by their own first
/// attempts, what the leader grants, and the entries' shares, which they have for when no leader replies. The rest covers
/// retries that reach their endpoints later than others, such as behind a link that was cut.
struct retry_tolerance {
    /// Retries allowed per first attempt.
    double ratio = 0.2;
    /// Retries allowed per window in addition to the ratio.
    double slack = 0;
    milliseconds window { 10000 };

    /// How long a retry that was granted may be made. Calls wait for free endpoints in between.
    static constexpr milliseconds grantLifetime { 2000 };

    /// How long a grant counts: a window from the last moment at which the retry may be made.
    milliseconds countedFor() const { return window + grantLifetime; }
    /// The share of a part of the budget that may be spent before optional retries are refused, to leave the rest to required ones.
    static double spendableShare(retry_need need) { return need == retry_need::Required ? 1 : 0.4; }
    /// Retries that an entry may make for each of its own first attempts.
    double earnedRatio() const { return ratio * 3 / 4; }
    /// Retries that the leader grants per window.
    double leaderGrants() const { return slack / 2; }
    /// Retries of all entries' shares together.
    double entryShares() const { return slack * 3 / 8; }
};

} // namespace pistachiolatch
