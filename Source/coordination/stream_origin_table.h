#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace pistachiolatch {

/// The service and the software version of the endpoint that wrote a stream's first event. An empty version is unknown and
/// equals no other.
struct stream_origin {
    std::string service;
    std::string softwareVersion;
};

/// Identifies a stream by the organisation and the id of the caller's attempt that brought its first event. Never 0.
/// Thread safety: any thread.
std::uint64_t streamKey(const std::string& organisation, const std::string& requestId);

/// Where streams began, for as long as their callers may continue them. Bounded: the streams that expire first are dropped.
/// Pure; not thread-safe.
class stream_origin_table {
public:
    explicit stream_origin_table(std::size_t maxStreams)
        : m_maxStreams(maxStreams)
    {
    }

    /// Records an origin, unless a later placement of the stream is known. Returns whether others may have to learn of it: the
    /// stream is new, its origin is another one, or it may now be continued for notably longer.
    bool record(const wire::stream_origin& origin, time_point now);
    /// The record of a stream, with the lifetime that is left.
    std::optional<wire::stream_origin> find(std::uint64_t stream, time_point now) const;
    /// Calls a function with each record, with the lifetime that is left.
    template <typename Function>
    void forEach(time_point now, Function function) const
    {
        for (const auto& [stream, known] : m_streams) {
            if (known.expiresAt > now)
                function(encode(stream, known, now));
        }
    }
    void expire(time_point now);
    std::size_t size() const { return m_streams.size(); }

private:
    /// Shared by all streams that began at the same version of a service.
    using shared_origin = std::shared_ptr<const stream_origin>;
    struct known_stream {
        shared_origin origin;
        std::uint32_t placement = 0;
        time_point expiresAt;
    };
    static wire::stream_origin encode(std::uint64_t stream, const known_stream& known, time_point now);
    shared_origin share(const wire::stream_origin& origin);
    void remove(std::uint64_t stream);

    std::size_t m_maxStreams;
    std::unordered_map<std::uint64_t, known_stream> m_streams;
    std::set<std::pair<time_point, std::uint64_t>> m_byExpiry;
    std::map<std::pair<std::string, std::string>, std::weak_ptr<const stream_origin>> m_origins;
};

} // namespace pistachiolatch
