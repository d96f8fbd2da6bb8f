#pragma once
#include "http/http.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace pistachiolatch::test {

/// An [[endpoint]] table of the settings file.
struct endpoint_settings {
    std::string id;
    std::string listen;
    std::string advertise;
    std::string role;
    std::string model;
    std::string version = "v1";
    std::string dataCentre = "dc1";
    std::uint32_t slots = 20;
    std::uint32_t memoryPieces = 60;
    std::uint32_t prefillTokensPerSecond = 40000;
    std::uint32_t stepMicros = 28000;
    std::uint32_t stepMicrosPerRequest = 500;
    std::uint32_t linkMbps = 10000;
    std::uint32_t kvBytesPerToken = 20000;
    milliseconds kvExpiry { 900 };
    milliseconds reportLag { 1000 };
    milliseconds serviceTime { 5 };
    milliseconds loadTime { 300 };
    milliseconds restartTime { 700 };
    bool fencing = true;
};

/// State that all endpoints of the process share: the executions of services and the loads from the weight store.
struct shared_state {
    std::map<std::string, std::uint32_t> executionsByKey;
    std::uint64_t serviceExecutions = 0;
    bool callerKeySeen = false;
    std::uint32_t activeModelLoads = 0;
    std::uint32_t peakModelLoads = 0;
};

/// A simulated endpoint: continuous batching with a prefill time per token and a decode step time, memory in pieces, KV
/// caches that expire, delayed load reports, cancellation, stage orders, and faults that a test switches on.
class stand_in_engine {
public:
    stand_in_engine(traffic_threads& threads, endpoint_settings settings, shared_state& shared, std::vector<std::string> entryAddresses);

    result<void> start();
    std::string address() const;

private:
    struct kv_cache_entry {
        std::string tag;
        std::string prompt;
        std::uint32_t tokens = 0;
        std::uint32_t pieces = 0;
        bool pinned = false;
        bool imported = false;
        std::uint32_t fromIndex = 0;
        time_point expires {};
    };
    struct load_sample {
        time_point at;
        std::uint32_t running;
        std::uint32_t waiting;
        std::uint32_t pieces;
    };
    using json_object = boost::json::object;

    task_of<void> handleRequest(http_exchange& exchange);
    task_of<void> handlePrefill(http_exchange& exchange, json_object body);
    task_of<void> handleKvExport(http_exchange& exchange, json_object body);
    task_of<void> handleKvImport(http_exchange& exchange, json_object body);
    task_of<void> handleDecode(http_exchange& exchange, json_object body);
    task_of<void> handleCancel(http_exchange& exchange, json_object body);
    task_of<void> handleOrder(http_exchange& exchange, json_object body);
    task_of<void> handleService(http_exchange& exchange);
    void setFaults(const json_object& body);
    json_object stats() const;
    json_object makeAnnouncement();
    task_of<void> sendAnnouncements();
    task_of<void> sleepFor(duration length);
    task_of<bool> requestKvExport(std::string source, std::string kv, std::string phase, json_object& response);
    void crash();
    void removeExpiredKv();
    std::uint32_t usedPieces() const;
    std::uint32_t batchSize() const;
    bool hasCrashedSince(std::uint64_t incarnation) const { return m_down || incarnation != m_incarnation; }

    traffic_threads& m_threads;
    endpoint_settings m_settings;
    shared_state& m_shared;
    std::vector<std::string> m_entryAddresses;
    http_server m_server;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    bool m_down = false;
    bool m_leaving = false;
    std::map<std::string, kv_cache_entry> m_kvCache;
    std::set<std::string> m_cancelledTags;
    std::map<std::string, std::uint32_t> m_runningByTag;
    std::deque<std::uint64_t> m_cachedPrefixes;
    std::deque<load_sample> m_recentLoads;
    time_point m_prefillBusyUntil {};
    time_point m_linkBusyUntil {};
    std::uint32_t m_prefillWaiting = 0;
    std::uint32_t m_importWaiting = 0;
    std::uint64_t m_lastKvNumber = 0;
    std::uint64_t m_tokensPrefilled = 0;
    std::uint64_t m_tokensWasted = 0;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_ordersAccepted = 0;
    std::uint64_t m_crashes = 0;
    // Faults that a test switches on.
    bool m_stallTransfers = false;
    bool m_duplicateTokens = false;
    bool m_wrongTags = false;
    bool m_loseToken = false;
    bool m_ignoreCalls = false;
    std::uint32_t m_loseCancels = 0;
    std::uint32_t m_crashAfterTokens = 0;
};

/// A request that contains this text crashes the endpoint that executes it.
constexpr const char* crashMark = "CRASH-ENDPOINT";

} // namespace pistachiolatch::test
