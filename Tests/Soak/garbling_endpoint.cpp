#include "Soak/garbling_endpoint.h"

#include "platform_names.h"

namespace pistachiolatch::test {

namespace {
    namespace names = platform_names;

    std::string makeEvents(std::uint64_t first)
    {
        std::string events;
        for (auto i = first; i < fake_endpoint::eventsPerStream; ++i)
            events += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
        return events;
    }
}

garbling_endpoint::garbling_endpoint(const std::string& id, const std::string& address, const std::string& reportAddress, const std::string& service, const std::string& stage, std::uint64_t seed)
    : m_stage(stage)
    , m_random(seed)
    , m_report(id, reportAddress, service, stage)
    , m_endpoint(address, [this](const auto& request) { return respond(request); })
{
    m_report.setReportedAddress(address);
    m_endpoint.setStatusScript([this](const auto&) { return respondToStatus(); });
}

scripted_response garbling_endpoint::respond(const http_exchange::request& request)
{
    std::string id(request[names::requestId]);
    std::string lastEventId(request[names::lastEventId]);
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = m_stage.empty() ? "answer to " + id : makeEvents(lastEventId.empty() ? 0 : std::stoull(lastEventId) + 1);
    response.headers = { { names::responseSeal, "seal" } };
    if (m_garbles)
        garble(response, id);
    return response;
}

scripted_response garbling_endpoint::respondToStatus()
{
    scripted_response response;
    response.framing = body_framing::Length;
    response.end = connection_end::KeepOpen;
    response.body = fmt::format("{{\"{}\":{}}}", names::startTime, fake_endpoint::firstStartTime);
    if (m_garbles)
        garble(response, {});
    return response;
}

void garbling_endpoint::garble(scripted_response& response, const std::string& requestId)
{
    auto half = response.body.substr(0, response.body.size() / 2);
    auto named = requestId.empty() ? std::string() : fmt::format("{}: {}\r\n", names::requestId, requestId);
    switch (m_random() % 24) {
    case 0:
    case 1:
    case 2:
        response.repeatedBeforeNext = true;
        break;
    case 3:
        response.framing = body_framing::None;
        response.end = connection_end::Reset;
        response.body = half;
        response.resetDelay = milliseconds(m_random() % 60);
        break;
    case 4:
        response.framing = m_random() % 2 == 0 ? body_framing::Length : body_framing::Chunked;
        response.end = m_random() % 2 == 0 ? connection_end::Close : connection_end::Reset;
        response.body = half;
        response.truncated = true;
        break;
    case 5: {
        constexpr std::array statuses { "000", "099", "101", "199", "600", "999", "2000", "2x0" };
        response.statusText = statuses[m_random() % statuses.size()];
        break;
    }
    case 6:
        response.status = 404;
        response.headers.clear();
        response.body = "no such path";
        break;
    case 7:
        response.raw = "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone";
        break;
    case 8:
        response.raw = fmt::format("HTTP/1.1 200 OK\r\n{}{}: seal\r\nContent-Length: 10", named, names::responseSeal).substr(0, 1 + m_random() % 60);
        response.end = connection_end::Close;
        break;
    case 9:
        response.raw = fmt::format("HTTP/1.1 200 OK\r\n{}{}: seal\r\nX Odd: 1\r\nContent-Length: {}\r\n\r\n{}", named, names::responseSeal, response.body.size(), response.body);
        break;
    case 10:
        response.raw = "no answer in this protocol\r\n\r\n";
        break;
    case 11:
        response.raw = fmt::format("HTTP/1.1 200 OK\r\n{}: other\r\n{}: seal\r\nContent-Length: 5\r\n\r\nother", names::requestId, names::responseSeal);
        response.end = connection_end::Close;
        break;
    case 12:
        response.endless = m_random() % 4 == 0;
        break;
    default:
        break;
    }
}

} // namespace pistachiolatch::test
