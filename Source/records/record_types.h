#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The newest record schema that this build decodes.
constexpr std::uint32_t newestSchemaVersion = 3;

/// How long a limit grant may be used after it was issued. A bucket reserves rate times this duration, so that a grant
/// used late never lets an organisation exceed its rate and burst.
constexpr milliseconds limitGrantLifetime { 250 };

/// The models and services that an organisation may use. Schema 2 adds the weight.
struct organisation_record {
    std::set<std::string> models;
    std::set<std::string> services;
    /// Relative share of a contended pool.
    std::uint32_t weight = 1;
};

/// A caller's API key; only its digest is stored.
struct key_record {
    std::string organisation;
    std::string sha256;
    bool withdrawn = false;
};

/// An organisation's rate in tokens per second and burst in tokens, across all VMs. Schema 2 adds the share.
struct limit_record {
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    /// Maximum percentage of a pool's slots while other organisations wait.
    std::uint32_t inFlightShare = 100;
};

/// The role and the model that an endpoint is assigned.
struct endpoint_role_record {
    std::string role;
    std::string model;
    std::string version;
    /// The revision at which the record took effect; used as the fencing token of orders derived from it.
    std::uint64_t revision = 0;
};

/// A service that is not a model engine.
struct service_record {
    std::set<std::string> nonIdempotentMethods { "PATCH", "POST" };
    bool idempotencyKeyRequired = true;
    milliseconds deadline { 10000 };
    std::uint32_t costTokens = 1;
};

/// A model and its latency targets.
struct model_record {
    std::string version;
    milliseconds firstTokenTarget { 980 };
    milliseconds perTokenTarget { 70 };
    /// Maximum time that a request waits in the pool's queue.
    milliseconds queueTimeout { 20000 };
    std::uint32_t maxTokensDefault = 256;
};

/// Whether new work is kept away from the endpoints of the data centre that the record is named after. Schema 3 adds this
/// kind, so that it is accepted only once every process follows it.
struct evacuation_record {
    bool evacuated = true;
};

/// Each decoder converts every supported schema version to the same type.
/// Errors: unsupported schema, unknown or missing field, wrong type, value out of bounds. Thread safety: any thread.
result<organisation_record> decodeOrganisation(const wire::record& record);
result<key_record> decodeKey(const wire::record& record);
result<limit_record> decodeLimit(const wire::record& record);
result<endpoint_role_record> decodeEndpointRole(const wire::record& record);
result<service_record> decodeService(const wire::record& record);
result<model_record> decodeModel(const wire::record& record);
result<evacuation_record> decodeEvacuation(const wire::record& record);

/// The record kinds, in listing order.
const std::vector<std::string>& recordKinds();
/// Checks kind, name and version. Errors: the first problem, with kind and name. Thread safety: any thread.
result<void> validateRecordShape(const wire::record& record);
/// Checks kind, name, versions and body. Errors: the first problem, with kind and name. Thread safety: any thread.
result<void> validateRecord(const wire::record& record);
/// Digest of a record's content; submissions of one version are the same if their digests are equal.
/// Precondition: the body is canonical. Thread safety: any thread.
std::string recordDigest(const wire::record& record);

} // namespace pistachiolatch
