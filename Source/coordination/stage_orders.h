#pragma once
#include "http/http.h"
#include "scheduling/scheduling.h"
#include <boost/asio/io_context.hpp>

namespace pistachiolatch {

/// An order to an endpoint to work in another stage.
struct stage_order {
    std::string endpointId;
    wire::endpoint_stage stage = wire::STAGE_ANY;
    /// Who gives it. A holder is one VM.
    std::string holder;
    /// Grows with each leader, so that an endpoint refuses the order of one that was succeeded.
    std::uint64_t fence = 0;
    /// The orders that the endpoint has accepted before. One that is carried out late, behind a newer one, is void by it.
    std::uint64_t expectedSequence = 0;
};

/// What an endpoint says of itself to whoever is about to give it an order.
struct order_readiness {
    std::uint64_t sequence = 0;
    /// Whether another order is being carried out.
    bool busy = false;
};

/// How orders are written on the wire.
struct order_dialect {
    std::function<http_request()> encodeQuestion;
    std::function<std::optional<order_readiness>(const std::string& body)> decodeReadiness;
    std::function<http_request(const stage_order&)> encodeOrder;
};

/// Gives orders to endpoints and says what came of them. An order without an answer may have been accepted; the endpoint's
/// own reports tell.
/// Thread safety: used on the context's thread.
class stage_orders {
public:
    using handler = std::function<void(bool accepted)>;

    stage_orders(boost::asio::io_context& context, order_dialect dialect)
        : m_context(context)
        , m_dialect(std::move(dialect))
    {
    }

    /// Asks the endpoint where it stands and gives it the order. The check comes right before the order leaves: whoever
    /// lost the lead meanwhile must not give it.
    void give(const std::string& address, stage_order order, std::function<bool()> stillLeads, handler done);

private:
    task_of<bool> giveNow(std::string address, stage_order order, std::function<bool()> stillLeads) const;

    boost::asio::io_context& m_context;
    order_dialect m_dialect;
};

} // namespace pistachiolatch
