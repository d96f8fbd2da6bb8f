#pragma once
// How an endpoint's answer is read, judged and passed on whole. Included by forward_call.h alone.
#include "forwarding/call_forwarder.h"
#include "forwarding/call_forwarder_common.h"
#include <algorithm>
#include <array>

namespace pistachiolatch {

template <call_codec Dialect>
task_of<call_failure> forward_call<Dialect>::readOwnHead(response_metadata& answer)
{
    bool bodyless = m_request.method() == boost::beast::http::verb::head;
    for (int stray = 0;; ++stray) {
        auto failed = co_await m_current->readHead(bodyless);
        if (failed != call_failure::None)
            co_return failed;
        answer = Dialect::parseResponse(m_current->fields());
        if (answer.requestId.empty() || answer.requestId == m_head.id)
            co_return call_failure::None;
        // A late answer to an earlier request of this connection; the one that is due follows it.
        m_shared.counters.count("stray_answer");
        std::string dropped;
        if (stray == forwarding_detail::mostStrayAnswers || !answer.sealed)
            co_return call_failure::Broken;
        failed = co_await m_current->readRest(dropped, forwarding_detail::mostAnswerBytes);
        if (failed != call_failure::None)
            co_return failed;
    }
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::receive(const picked_endpoint& endpoint)
{
    response_metadata answer;
    auto failed = co_await readOwnHead(answer);
    if (failed != call_failure::None) {
        if (!ended())
            judge(endpoint.id, endpoint_verdict::Lost);
        noteBrokenConnection(endpoint);
        co_return attempt_end::MayHaveRun;
    }
    auto status = m_current->status();
    if (answer.load)
        m_shared.roster.noteLoad(endpoint.id, *answer.load);
    constexpr unsigned misdirected = 421;
    if (answer.guaranteedNotRun || status == misdirected) {
        std::string dropped;
        failed = co_await m_current->readRest(dropped, forwarding_detail::mostAnswerBytes);
        if (failed == call_failure::None)
            finishConnection(endpoint.id, answer);
        // Another endpoint has the address by now; until its announcement comes, this one is as good as lost.
        judge(endpoint.id, status == misdirected ? endpoint_verdict::Lost : endpoint_verdict::Refused);
        co_return attempt_end::RefusedUnrun;
    }
    bool success = status >= 200 && status < 300;
    bool trusted = answer.sealed && !answer.contentEncoded && answer.requestId == m_head.id;
    // These statuses tell the caller that its call has not run; without the endpoint's word for it that would be a guess.
    constexpr std::array promises { 408U, 429U, 503U };
    bool unprovenPromise = std::find(promises.begin(), promises.end(), status) != promises.end();
    if ((success && !trusted) || unprovenPromise || answer.contentEncoded) {
        judge(endpoint.id, endpoint_verdict::Failed);
        co_return attempt_end::MayHaveRun;
    }
    bool serverError = status >= 500;
    bool mayGoElsewhere = idempotent() && m_mayHaveRunAt < m_route->mostEndpoints && !m_answerBegun;
    if (serverError)
        judge(endpoint.id, endpoint_verdict::Failed);
    if (serverError && mayGoElsewhere)
        co_return co_await keepSpare(endpoint, answer);
    if (serverError && m_answerBegun)
        co_return attempt_end::MayHaveRun;
    if (m_answerBegun && !success)
        co_return attempt_end::MayHaveRun;
    if (success && m_route->kind == call_kind::Stream)
        co_return co_await passStream(endpoint, answer);
    co_return co_await passWhole(endpoint, answer);
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::keepSpare(const picked_endpoint& endpoint, const response_metadata& answer)
{
    std::string body;
    auto failed = co_await m_current->readRest(body, forwarding_detail::mostAnswerBytes);
    if (failed != call_failure::None || !answer.sealed)
        co_return attempt_end::MayHaveRun;
    m_spareStatus = m_current->status();
    // The call may wait for another endpoint through the start of a shutdown, so the connection ends with this answer.
    m_spareAnswer = encodeAnswerHead(m_spareStatus, m_current->reasonPhrase(), m_current->fields(), { body.size(), true }) + body;
    finishConnection(endpoint.id, answer);
    co_return attempt_end::MayHaveRun;
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::passWhole(const picked_endpoint& endpoint, const response_metadata& answer)
{
    std::string body;
    auto status = m_current->status();
    auto failed = co_await m_current->readRest(body, forwarding_detail::mostAnswerBytes);
    if (failed != call_failure::None) {
        if (!ended())
            judge(endpoint.id, endpoint_verdict::Failed);
        noteBrokenConnection(endpoint);
        co_return attempt_end::MayHaveRun;
    }
    if (status < 500)
        judge(endpoint.id, endpoint_verdict::Good);
    m_keepAlive = m_keepAlive && !m_shared.draining;
    auto bytes = encodeAnswerHead(status, m_current->reasonPhrase(), m_current->fields(), { body.size(), !m_keepAlive });
    finishConnection(endpoint.id, answer);
    m_answerBegun = true;
    m_status = status;
    m_outcome = "answered";
    bytes += body;
    bool written = co_await m_caller->write(std::move(bytes));
    m_callerGone = m_callerGone || !written;
    co_return attempt_end::Answered;
}

template <call_codec Dialect>
void forward_call<Dialect>::finishConnection(const std::string& endpointId, const response_metadata& answer)
{
    auto connection = std::exchange(m_current, nullptr);
    if (connection->reusable())
        m_shared.pool.put(endpointId, std::move(connection), answer.keepAlive);
    else
        connection->close();
}

} // namespace pistachiolatch
