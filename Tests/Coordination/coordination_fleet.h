#pragma once
#include "coordination/coordination.h"
#include "Support/fault_proxy.h"
#include <memory>
#include <random>

namespace pistachiolatch::test {

/// Returns a realistic configuration of at least the given size: many routes that differ only in their names.
std::string routesText(std::size_t bytes);
/// Returns incompressible text.
std::string randomText(std::size_t bytes);

/// A control process that leads a log without other replicas.
class test_leader {
public:
    test_leader(boost::asio::io_context& context, const clock_source& clock, std::string address);
    ~test_leader();
    test_leader(const test_leader&) = delete;
    test_leader& operator=(const test_leader&) = delete;

    bool isLeader() const { return m_replica->isLeader(); }
    void submit(std::uint64_t version, const std::string& body);
    std::uint64_t version() const { return m_replica->document().version(); }
    entry_coordinator& coordinator() { return *m_coordinator; }

private:
    boost::asio::io_context& m_context;
    metrics m_metrics;
    std::string m_folder;
    peer_network m_network;
    std::unique_ptr<document_replica> m_replica;
    std::unique_ptr<entry_coordinator> m_coordinator;
};

/// An entry's link to control with the endpoints that it received.
class test_entry final : public endpoint_listener {
public:
    test_entry(boost::asio::io_context& context, const clock_source& clock, const std::string& control);
    ~test_entry() override;
    test_entry(const test_entry&) = delete;
    test_entry& operator=(const test_entry&) = delete;

    bool serves(std::uint64_t version) const { return m_link.hasCurrentConfiguration() && m_link.routeTable()->version() >= version; }
    control_link& link() { return m_link; }
    peer_network& network() { return m_network; }
    bool knows(const std::string& endpoint) const { return m_endpoints.count(endpoint) > 0; }
    std::size_t endpointCount() const { return m_endpoints.size(); }
    /// Updates that contained endpoints.
    std::size_t endpointUpdates() const { return m_endpointUpdates; }

    void onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything) override;
    void onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>&) override { }
    void onEvacuated(const std::set<std::string>& dataCentres) override { m_evacuated = dataCentres; }
    const std::set<std::string>& evacuated() const { return m_evacuated; }
    void fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>&) const override { }
    void fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>&) const override { }

private:
    boost::asio::io_context& m_context;
    metrics m_metrics;
    peer_network m_network;
    control_link m_link;
    std::set<std::string> m_endpoints;
    std::size_t m_endpointUpdates = 0;
    std::set<std::string> m_evacuated;
};

/// Runs the context until the condition holds or the timeout expires. Returns whether it held.
bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition, std::chrono::milliseconds timeout);

} // namespace pistachiolatch::test
