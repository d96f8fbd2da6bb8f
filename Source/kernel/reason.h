#pragma once
#include <optional>
#include <string_view>

namespace pistachiolatch {

/// Reasons for refusing a request or retrying an attempt. Error responses, metrics and the operations manual all use
/// this list.
enum class reason {
    BadRequest,
    MalformedHead,
    UnclearLength,
    UnknownTransferCoding,
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
    Evacuated,
    EndpointsResting,
    StreamOriginUnknown,
    StreamVersionUnavailable,
    NoCapacity,
    DeadlineUnreachable,
    DeadlinePassed,
    PoisonRequest,
    SuspectedPoison,
    ShuttingDown,
    TooManyConnections,
    BuffersFull,
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

/// Whether a refused request may have been executed by an endpoint.
enum class run_state {
    NotRun,
    MayHaveRun,
};

/// Returns the name used in error responses and metrics. Thread safety: any thread.
std::string_view reasonName(reason value);
/// Returns the reason with the given name, if there is one. Thread safety: any thread.
std::optional<reason> reasonFromName(std::string_view name);
/// Returns the HTTP status for a reason. Thread safety: any thread.
unsigned httpStatus(reason value);
/// Returns a sentence that tells the caller what to do. Thread safety: any thread.
std::string_view reasonAdvice(reason value);
/// Returns the name used in error responses. Thread safety: any thread.
std::string_view runStateName(run_state value);

} // namespace pistachiolatch
