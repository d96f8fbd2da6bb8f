#pragma once
#include <optional>
#include <string_view>

namespace pistachiolatch {

/// Every reason for which a caller can be refused or an attempt repeated: the closed list that
/// errors, counters and the operators' page share.
enum class reason {
    BadRequest,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    UnsupportedMediaType,
    NotFound,
    MissingKey,
    UnknownKey,
    KeyWithdrawn,
    ModelNotAllowed,
    ServiceNotAllowed,
    UnknownModel,
    IdempotencyKeyRequired,
    IdempotencyKeyReused,
    OverRate,
    NoLimit,
    LimitUnreachable,
    RequestExceedsBurst,
    NoConfig,
    NoScheduler,
    NoEndpoint,
    NoCapacity,
    DeadlineUnreachable,
    DeadlinePassed,
    PoisonRequest,
    SuspectedPoison,
    ShuttingDown,
    TooManyConnections,
    LedgerUnavailable,
    OutcomeUnknown,
    EndpointFailed,
    EndpointRefused,
    ConnectFailed,
    KvExpired,
    TransferStalled,
    DecodeLost,
    AnswerCrossed,
    RetryBudgetSpent,
    CallerGone,
    Internal,
};

/// What a refusal tells of the request's effect on endpoints.
enum class run_state {
    NotRun,
    MayHaveRun,
};

/// The reason's name as callers and counters see it. Thread safety: any thread.
std::string_view reasonName(reason value);
/// The reason with that name, if there is one. Thread safety: any thread.
std::optional<reason> reasonFromName(std::string_view name);
/// The HTTP status that goes with a reason. Thread safety: any thread.
unsigned httpStatus(reason value);
/// A sentence for the caller that says what to do. Thread safety: any thread.
std::string_view reasonAdvice(reason value);
/// The state's name in an error body. Thread safety: any thread.
std::string_view runStateName(run_state value);

} // namespace pistachiolatch
