#pragma once
#include "control/control_node.h"
#include "http/http.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// The name and token digest of an operator.
struct operator_credential {
    std::string name;
    std::string tokenSha256;
};

/// The HTTP API for operators of a control VM. Each request requires an operator's token.
/// Thread safety: handlers run on traffic threads and access the node by posting to the control loop.
class operator_api {
public:
    operator_api(traffic_threads& threads, control_loop& loop, control_node& node, metrics& counters, std::vector<operator_credential> operators, buffer_budget& buffers);
    /// Errors: a description, such as address in use.
    result<void> listen(const std::string& address) { return m_server.listen(address); }
    void stopAccepting() { m_server.stopAccepting(); }
    unsigned activeRequests() const { return m_server.activeRequests(); }

private:
    task_of<void> handle(http_exchange& exchange);
    task_of<void> handleSubmit(http_exchange& exchange, const std::string& submitter);
    task_of<void> handleRead(http_exchange& exchange);
    task_of<void> handleExplain(http_exchange& exchange, const std::string& requestId);
    /// Returns the name of the operator whose token the request carries, or an empty string.
    std::string authenticate(const http_exchange& exchange) const;

    control_loop& m_loop;
    control_node& m_node;
    metrics& m_metrics;
    std::vector<operator_credential> m_operators;
    http_server m_server;
};

} // namespace pistachiolatch
