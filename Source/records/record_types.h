#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>
#include <vector>

namespace pistachiolatch {

/// The newest record schema that this build decodes.
constexpr std::uint32_t newestSchemaVersion = 2;

/// How long a limit grant may be used after the owner gave it. A bucket keeps rate x this much in reserve, so that
/// a grant used late never lifts an organisation above rate and burst.
constexpr milliseconds limitGrantLifetime { 250 };

/// An organisation and what it may use. Schema 1 has no weight; schema 2 adds it.
struct organisation_record {
    std::set<std::string> models;
    std::set<std::string> services;
    /// Share of a contended pool, relative to other organisations.
    std::uint32_t weight = 1;
};

/// A caller's key, known by its digest only.
struct key_record {
    std::string organisation;
    std::string sha256;
    bool withdrawn = false;
};

/// Rate in tokens a second and burst in tokens over all VMs together. Schema 2 adds the share.
struct limit_record {
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    /// Most percent of a pool's slots while others wait.
    std::uint32_t inFlightShare = 100;
};

/// What an endpoint is told to be.
struct endpoint_role_record {
    std::string role;
    std::string model;
    std::string version;
    /// The revision that brought the record into force; fences the orders made from it.
    std::uint64_t revision = 0;
};

/// A plain service beside the model engines.
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
    /// Longest wait of a request in the pool's queue.
    milliseconds queueTimeout { 20000 };
    std::uint32_t maxTokensDefault = 256;
};

/// Each decoder takes every schema version it knows to the one canonical type.
/// Errors: unknown schema, unknown or missing field, wrong type, value out of bounds. Thread safety: any thread.
result<organisation_record> decodeOrganisation(const wire::record& record);
result<key_record> decodeKey(const wire::record& record);
result<limit_record> decodeLimit(const wire::record& record);
result<endpoint_role_record> decodeEndpointRole(const wire::record& record);
result<service_record> decodeService(const wire::record& record);
result<model_record> decodeModel(const wire::record& record);

/// The kinds of record, in the order in which they are listed.
const std::vector<std::string>& recordKinds();
/// Checks kind, name and version. Errors: what is wrong, with kind and name. Thread safety: any thread.
result<void> validateRecordShape(const wire::record& record);
/// Checks kind, name, versions and body. Errors: what is wrong, with kind and name. Thread safety: any thread.
result<void> validateRecord(const wire::record& record);
/// What two submissions under one version must share to count as the same.
/// Precondition: the body is canonical. Thread safety: any thread.
std::string recordDigest(const wire::record& record);

} // namespace pistachiolatch
