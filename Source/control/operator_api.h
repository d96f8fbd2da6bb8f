#pragma once
#include "control/control_node.h"
#include "http/http.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Someone who may submit records.
struct operator_credential {
    std::string name;
    std::string tokenSha256;
};

/// The operators' HTTP interface of a control VM. Each request needs an operator's token.
/// Thread safety: handlers run on traffic threads and reach the node by posting.
class operator_api {
public:
    operator_api(traffic_threads& threads, control_loop& loop, control_node& node, metrics& counters, std::vector<operator_credential> operators);
    /// Errors: address in use, in words.
    result<void> listen(const std::string& address) { return m_server.listen(address); }
    void stopAccepting() { m_server.stopAccepting(); }
    unsigned activeRequests() const { return m_server.activeRequests(); }

private:
    task_of<void> handle(http_exchange& exchange);
    task_of<void> submit(http_exchange& exchange, const std::string& submitter);
    task_of<void> read(http_exchange& exchange);
    task_of<void> explain(http_exchange& exchange, const std::string& requestId);
    /// The operator whose token came with the request, or empty.
    std::string operatorOf(const http_exchange& exchange) const;

    control_loop& m_loop;
    control_node& m_node;
    metrics& m_metrics;
    std::vector<operator_credential> m_operators;
    http_server m_server;
};

} // namespace pistachiolatch
