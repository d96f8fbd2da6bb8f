#pragma once
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <unordered_set>
#include <vector>

namespace pistachiolatch {

/// Fingerprints of requests with at least crash_tracker::crashesToBlock recorded crashes. Immutable, so it can be
/// shared between threads.
class poison_list {
public:
    poison_list() = default;
    explicit poison_list(const std::vector<wire::poison_mark>& marks);

    /// Whether a request with this fingerprint must be refused. Thread safety: any thread.
    bool contains(std::uint64_t fingerprint) const { return m_fingerprints.count(fingerprint) > 0; }

private:
    std::unordered_set<std::uint64_t> m_fingerprints;
};

} // namespace pistachiolatch
