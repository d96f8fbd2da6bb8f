#pragma once
#include "http/http.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace pistachiolatch::test {

/// What one stand-in endpoint is; from the stand-in's settings file.
struct engine_profile {
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

/// State that the endpoints of one stand-in process share: what the services did, and the weight store.
struct shared_world {
    std::map<std::string, std::uint32_t> executions;
    std::uint64_t serviceRuns = 0;
    bool keySeen = false;
    std::uint32_t loadsNow = 0;
    std::uint32_t loadsPeak = 0;
};

/// One endpoint: continuous batching with a cost for prefill and a step for decode, memory in pieces, KV that
/// expires, load reports with a lag, cancel, orders, and faults that a test switches on. No simulator of anything else.
class stand_in_engine {
public:
    stand_in_engine(traffic_threads& threads, engine_profile profile, shared_world& world, std::vector<std::string> announceTo);

    result<void> start();
    std::string address() const;

private:
    struct held_kv {
        std::string tag;
        std::string prompt;
        std::uint32_t tokens = 0;
        std::uint32_t pieces = 0;
        bool pinned = false;
        bool imported = false;
        std::uint32_t fromIndex = 0;
        time_point expires {};
    };
    struct reported_load {
        time_point at;
        std::uint32_t running;
        std::uint32_t waiting;
        std::uint32_t pieces;
    };
    using json_object = boost::json::object;

    task_of<void> handle(http_exchange& exchange);
    task_of<void> prefill(http_exchange& exchange, json_object body);
    task_of<void> exportKv(http_exchange& exchange, json_object body);
    task_of<void> importKv(http_exchange& exchange, json_object body);
    task_of<void> decode(http_exchange& exchange, json_object body);
    task_of<void> cancel(http_exchange& exchange, json_object body);
    task_of<void> order(http_exchange& exchange, json_object body);
    task_of<void> service(http_exchange& exchange);
    void control(const json_object& body);
    json_object stats() const;
    json_object announcement();
    task_of<void> announceForever();
    task_of<void> pause(duration length);
    task_of<bool> callSource(std::string source, std::string kv, std::string phase, json_object& answer);
    void crash();
    void expireKv();
    std::uint32_t usedPieces() const;
    std::uint32_t batch() const;
    bool dead(std::uint64_t incarnation) const { return m_down || incarnation != m_incarnation; }

    traffic_threads& m_threads;
    engine_profile m_profile;
    shared_world& m_world;
    std::vector<std::string> m_announceTo;
    http_server m_server;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    bool m_down = false;
    bool m_leaving = false;
    std::map<std::string, held_kv> m_kv;
    std::set<std::string> m_cancelled;
    std::map<std::string, std::uint32_t> m_running;
    std::deque<std::uint64_t> m_prefixes;
    std::deque<reported_load> m_reports;
    time_point m_prefillBusyUntil {};
    time_point m_linkBusyUntil {};
    std::uint32_t m_prefillWaiting = 0;
    std::uint32_t m_importWaiting = 0;
    std::uint64_t m_lastKv = 0;
    std::uint64_t m_tokensPrefilled = 0;
    std::uint64_t m_tokensExpired = 0;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_ordersTaken = 0;
    std::uint64_t m_crashes = 0;
    // Faults that a test switches on.
    bool m_stallTransfers = false;
    bool m_duplicateTokens = false;
    bool m_crossAnswers = false;
    bool m_loseToken = false;
    bool m_ignoreCalls = false;
    std::uint32_t m_loseCancels = 0;
    std::uint32_t m_breakAfterTokens = 0;
};

/// A prompt that holds this crashes the endpoint that runs it.
constexpr const char* crashMark = "CRASH-ENDPOINT";

} // namespace pistachiolatch::test
