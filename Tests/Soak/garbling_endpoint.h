#pragma once
#include "Platform/fake_endpoint.h"
#include "Platform/scripted_endpoint.h"
#include <random>

namespace pistachiolatch::test {

/// An endpoint in trouble: it runs each request, and answers some of them late, twice, early, cut off, with another status, or with bytes
/// that are no answer. It does the same to status requests. The seed determines what it does with which request.
class garbling_endpoint {
public:
    /// The stage is "decode", or empty for a plain service. Its reports state the address.
    garbling_endpoint(const std::string& id, const std::string& address, const std::string& reportAddress, const std::string& service, const std::string& stage, std::uint64_t seed);

    /// Whether it garbles answers; else all of them are sound.
    void setGarbling(bool garbles) { m_garbles = garbles; }
    /// Makes its reports.
    fake_endpoint& reporter() { return m_report; }
    /// The requests that it ran, by id.
    std::map<std::string, int> runCounts() const { return m_endpoint.requestCounts(); }

private:
    scripted_response respond(const http_exchange::request& request);
    scripted_response respondToStatus();
    void garble(scripted_response& response, const std::string& requestId);

    std::string m_stage;
    /// Used on the endpoint's thread.
    std::mt19937_64 m_random;
    std::atomic<bool> m_garbles { false };
    fake_endpoint m_report;
    scripted_endpoint m_endpoint;
};

} // namespace pistachiolatch::test
