#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <list>
#include <set>
#include <unordered_map>

namespace pistachiolatch {

/// What an entry knows of the requests that endpoints answered with success, by fingerprint: when the latest such attempt
/// began. A request that crashes endpoints never succeeds, so the leader asks for what is known of the requests under which
/// endpoints crashed. Only the most recently used requests are kept. Pure; not thread-safe.
class request_success_history {
public:
    /// Records that an attempt which began at `begunAt` succeeded. Returns whether the leader is to be told at once.
    bool recordSuccess(std::uint64_t fingerprint, time_point begunAt, time_point now);
    /// Replaces the requests that the leader suspects. Returns whether a success of a newly suspected one is known.
    bool setSuspects(const google::protobuf::RepeatedField<std::uint64_t>& suspects);
    /// When the latest attempt that succeeded began; zero if none is known.
    time_point lastBegunAt(std::uint64_t fingerprint) const;
    /// Appends what is known of the suspected requests and of the given ones.
    void fillSuccesses(google::protobuf::RepeatedPtrField<wire::request_success>& successes, std::set<std::uint64_t> fingerprints, time_point now) const;

private:
    struct known_request {
        std::uint64_t fingerprint;
        time_point begunAt;
    };
    /// The most recently used request first.
    std::list<known_request> m_recent;
    std::unordered_map<std::uint64_t, std::list<known_request>::iterator> m_known;
    std::set<std::uint64_t> m_suspects;
    time_point m_toldAt {};
};

} // namespace pistachiolatch
