#pragma once
#include "http/http.h"
#include "scheduling/scheduling.h"
#include <boost/asio/io_context.hpp>

namespace pistachiolatch {

/// An order to an endpoint to change its serving stage.
struct stage_order {
    std::string endpointId;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// The VM that sends the order.
    std::string holder;
    /// Fencing token; grows with each leader, so that endpoints reject orders of a former leader.
    std::uint64_t fence = 0;
    /// How many orders the endpoint has accepted before. A delayed order that arrives after a newer one is rejected by it.
    std::uint64_t expectedSequence = 0;
};

/// An endpoint's status before an order is sent to it.
struct stage_order_status {
    std::uint64_t sequence = 0;
    /// Whether another order is in progress.
    bool busy = false;
};

/// Encodes and decodes the HTTP messages of orders.
struct stage_order_codec {
    std::function<http_request()> encodeStatusRequest;
    std::function<std::optional<stage_order_status>(const std::string& body)> decodeStatus;
    std::function<http_request(const stage_order&)> encodeOrder;
};

/// Sends stage orders to endpoints. An order without an answer may have been accepted; the endpoint's reports show the
/// result.
/// Thread safety: used on the context's thread.
class stage_order_client {
public:
    using handler = std::function<void(bool accepted)>;

    stage_order_client(boost::asio::io_context& context, stage_order_codec codec)
        : m_context(context)
        , m_codec(std::move(codec))
    {
    }

    /// Reads the endpoint's status and sends it the order. Calls isLeader right before sending: a process that lost the
    /// leadership meanwhile must not send orders.
    void send(const std::string& address, stage_order order, std::function<bool()> isLeader, handler done);

private:
    task_of<bool> sendOrder(std::string address, stage_order order, std::function<bool()> isLeader) const;

    boost::asio::io_context& m_context;
    stage_order_codec m_codec;
};

} // namespace pistachiolatch
