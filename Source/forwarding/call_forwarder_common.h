#pragma once
// The steps that all calls share and those of calls to plain services. Included by forward_call.h alone.
#include "forwarding/call_forwarder.h"
#include <boost/asio.hpp>
#include <xxhash.h>

namespace pistachiolatch {

namespace forwarding_detail {
    constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    /// Connecting inside a region takes milliseconds. A dropped opening packet is sent again only after a second, which
    /// is too long for callers who are content with a tenth of that.
    constexpr milliseconds connectTimeout { 250 };
    /// A silent endpoint is given up for a call that may be repeated after this many times the route's target.
    constexpr int patienceInTargets = 4;
    /// Answers that are kept whole before they are passed on; callers may send no more either.
    constexpr std::size_t mostAnswerBytes = 16UL * 1024 * 1024;
    /// Answers to earlier requests that may stand before the one that is due.
    constexpr int mostStrayAnswers = 2;
    /// How long a call may wait for its organisation's tokens, as a share of the time in which its answer is as good
    /// as it gets.
    constexpr int tokenPatienceShare = 3;
    /// When callers are told to come back: with no endpoint or configuration, things change within a second or so.
    constexpr milliseconds comeBackSoon { 700 };
    /// Retry-After for a request suspected of crashing endpoints: endpoints that are still running have reported by then.
    constexpr milliseconds suspicionRetryAfter { 2000 };
    /// The least that a caller over its rate is told to wait.
    constexpr milliseconds leastRateWait { 200 };
    /// When a call's tokens are not stated, it counts the organisation's figure for plain calls.
    inline std::uint64_t tokensOf(const organisation_config& organisation, const request_metadata& head)
    {
        if (!organisation.countsTokens)
            return 1;
        return head.tokens ? head.tokens->prompt + head.tokens->output : organisation.plainTokens;
    }
}

template <call_codec Dialect>
forward_call<Dialect>::forward_call(forwarding_context& shared, std::shared_ptr<caller_channel> caller, caller_request request)
    : m_shared(shared)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_head(Dialect::parseRequest(m_request))
    , m_receivedAt(shared.clock.now())
    , m_endsAt(m_receivedAt + m_head.deadline.value_or(milliseconds(std::chrono::hours(1))))
    , m_table(shared.link.table())
    , m_deadlineTimer(shared.context)
    , m_attemptTimer(shared.context)
{
    m_keepAlive = m_request.keep_alive();
}

template <call_codec Dialect>
forward_call<Dialect>::~forward_call()
{
    *m_alive = false;
    m_caller->endWatch();
    m_deadlineTimer.cancel();
    m_attemptTimer.cancel();
}

template <call_codec Dialect>
task_of<bool> forward_call<Dialect>::run()
{
    auto refused = admit();
    if (refused) {
        co_await refuse(*refused);
        co_return m_keepAlive;
    }
    startDeadline();
    auto alive = m_alive;
    m_caller->watch([this, alive] {
        if (!*alive)
            return;
        m_callerGone = true;
        cutCurrent();
    });
    auto verdict = co_await takeTokens();
    if (!verdict.granted && !ended()) {
        auto why = verdict.overRate ? reason::OverRate : reason::LimitUnreachable;
        error_response refusal { why, httpStatus(why), std::max(verdict.retryAfter, forwarding_detail::leastRateWait) };
        co_await refuse(refusal);
    } else if (!ended()) {
        auto& service = chooseService(*m_route, std::uniform_real_distribution<double>()(m_shared.random));
        m_service = m_table->service(service);
        bool isModelCall = m_service->engine && m_route->kind == call_kind::Stream;
        if (isModelCall)
            co_await runModel();
        else
            co_await runPlain();
    } else {
        co_await conclude(reason::DeadlinePassed);
    }
    releasePrefill();
    logEnd();
    // A stream that began before the shutdown promised to keep the connection; the next request on it would come to a
    // process that may end before its answer does.
    bool goesOn = m_keepAlive && !m_callerGone && !m_shared.draining && !m_caller->isClosed();
    co_return goesOn;
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::refuseAtShutdown()
{
    error_response refusal { reason::ShuttingDown, httpStatus(reason::ShuttingDown), milliseconds(0) };
    co_await refuse(refusal);
}

template <call_codec Dialect>
std::optional<error_response> forward_call<Dialect>::admit()
{
    auto refusal = [](reason why, std::optional<milliseconds> retryAfter = std::nullopt) { return error_response { why, httpStatus(why), retryAfter }; };
    // An entry out of touch must not act on what it once knew: a key may have been withdrawn meanwhile.
    if (!m_shared.link.isCurrent())
        return refusal(reason::NoConfig, forwarding_detail::comeBackSoon);
    std::string_view host(m_request[boost::beast::http::field::host].data(), m_request[boost::beast::http::field::host].size());
    std::string_view target(m_request.target().data(), m_request.target().size());
    m_route = m_table->find(host, target);
    if (!m_route)
        return refusal(reason::NotFound);
    if (m_table->needsKeys() && !m_route->keyless) {
        if (m_head.key.empty())
            return refusal(reason::MissingKey);
        m_organisation = m_table->organisationOf(m_head.key);
        if (!m_organisation)
            return refusal(reason::UnknownKey);
    }
    if (auto refused = refusedAsPoison())
        return refused;
    m_endsAt = std::min(m_endsAt, m_receivedAt + m_route->timeout);
    m_tokens = m_head.tokens ? m_head.tokens->prompt + m_head.tokens->output : 0;
    return std::nullopt;
}

template <call_codec Dialect>
std::optional<error_response> forward_call<Dialect>::refusedAsPoison()
{
    if (!m_shared.link.blocksRequests())
        return std::nullopt;
    switch (m_shared.link.blockOf(fingerprint())) {
    case request_block::None:
        return std::nullopt;
    case request_block::Suspected:
        return error_response { reason::SuspectedPoison, httpStatus(reason::SuspectedPoison), forwarding_detail::suspicionRetryAfter };
    case request_block::Certain:
        break;
    }
    return error_response { reason::PoisonRequest, httpStatus(reason::PoisonRequest), std::nullopt };
}

template <call_codec Dialect>
std::uint64_t forward_call<Dialect>::fingerprint()
{
    if (!m_fingerprint) {
        auto toView = [this](boost::beast::string_view text) { return std::string_view(text.data(), text.size()); };
        auto identity = fmt::format("{}\n{}\n{}\n{}\n", m_organisation ? m_organisation->name : std::string(), toView(m_request.method_string()), toView(m_request[boost::beast::http::field::host]), toView(m_request.target()));
        m_fingerprint = XXH3_64bits_withSeed(m_request.body().data(), m_request.body().size(), XXH3_64bits(identity.data(), identity.size()));
    }
    return *m_fingerprint;
}

template <call_codec Dialect>
void forward_call<Dialect>::noteBrokenConnection(const picked_endpoint& endpoint)
{
    // A connection closed by this entry is no evidence of a crash.
    if (!ended() && !m_attemptExpired)
        m_brokenEndpoint = endpoint;
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::reportCrash()
{
    auto endpoint = std::exchange(m_brokenEndpoint, std::nullopt);
    if (!endpoint || ended())
        co_return;
    wire::crash_report report;
    report.set_fingerprint(fingerprint());
    report.set_endpoint(endpoint->id);
    report.set_endpoint_incarnation(endpoint->born);
    report.set_request_id(m_head.id);
    report.set_attempt(m_crashReports++);
    pending_reply<std::uint32_t> reply(m_shared.context.get_executor());
    m_shared.link.tellCrash(report, reply.completer());
    auto crashes = co_await reply.wait(timeLeft());
    m_crashes = std::max<std::uint32_t>(crashes.value_or(0), m_crashReports);
}

template <call_codec Dialect>
task_of<token_verdict> forward_call<Dialect>::takeTokens()
{
    if (!m_organisation || m_organisation->rate == 0)
        co_return token_verdict { true, false, milliseconds(0) };
    auto patience = std::min(m_route->latencyTarget / forwarding_detail::tokenPatienceShare, timeLeft());
    pending_reply<token_verdict> reply(m_shared.context.get_executor());
    m_shared.tokens.take(*m_organisation, forwarding_detail::tokensOf(*m_organisation, m_head), patience, reply.completer());
    auto verdict = co_await reply.wait(timeLeft());
    co_return verdict.value_or(token_verdict {});
}

template <call_codec Dialect>
void forward_call<Dialect>::startDeadline()
{
    m_deadlineTimer.expires_after(timeLeft());
    m_deadlineTimer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive)
            return;
        m_deadlinePassed = true;
        cutCurrent();
    });
}

template <call_codec Dialect>
void forward_call<Dialect>::armAttempt(milliseconds patience)
{
    m_attemptExpired = false;
    auto attempt = ++m_attempt;
    m_attemptTimer.expires_after(patience);
    m_attemptTimer.async_wait([this, attempt, alive = m_alive](boost::system::error_code error) {
        if (error || !*alive || attempt != m_attempt)
            return;
        m_attemptExpired = true;
        cutCurrent();
    });
}

template <call_codec Dialect>
void forward_call<Dialect>::disarmAttempt()
{
    ++m_attempt;
    m_attemptTimer.cancel();
}

template <call_codec Dialect>
void forward_call<Dialect>::cutCurrent()
{
    // Closing the connection is how an endpoint learns that nobody waits for its work any more.
    if (m_current)
        m_current->close();
}

template <call_codec Dialect>
attempt_options forward_call<Dialect>::ordersFor(const picked_endpoint& endpoint) const
{
    attempt_options orders;
    orders.endpointId = endpoint.id;
    orders.timeLeft = timeLeft();
    orders.organisation = m_organisation ? m_organisation->name : std::string();
    orders.resumeAfterEventId = m_events.lastId().empty() ? m_head.resumeAfterEventId : m_events.lastId();
    return orders;
}

template <call_codec Dialect>
task_of<std::shared_ptr<endpoint_connection>> forward_call<Dialect>::open(const picked_endpoint& endpoint, bool mayBeRepeated)
{
    if (auto kept = m_shared.pool.take(endpoint.id, mayBeRepeated)) {
        m_current = kept;
        co_return kept;
    }
    auto fresh = std::make_shared<endpoint_connection>(m_shared.context.get_executor());
    m_current = fresh;
    armAttempt(forwarding_detail::connectTimeout);
    bool connected = co_await fresh->connect(endpoint.address);
    disarmAttempt();
    if (connected && !ended())
        co_return fresh;
    fresh->close();
    m_current.reset();
    if (!ended()) {
        judge(endpoint.id, endpoint_verdict::Lost);
        m_shared.link.tellUnreachable(endpoint.id, endpoint.born);
    }
    co_return nullptr;
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::runPlain()
{
    reason why = reason::NoEndpoint;
    while (!ended()) {
        endpoint_query query;
        query.service = m_service->name;
        query.exclude = m_tried;
        auto endpoint = m_shared.roster.pick(query);
        if (!endpoint) {
            m_noRetryReason = no_retry_reason::NoEndpoint;
            break;
        }
        endpoint_booking booking(m_shared.roster, endpoint->id, 0);
        auto orders = ordersFor(*endpoint);
        auto end = co_await sendTo(*endpoint, std::move(orders));
        if (end == attempt_end::Answered)
            co_return;
        co_await reportCrash();
        why = end == attempt_end::RefusedUnrun ? reason::NoCapacity : end == attempt_end::NotSent ? reason::ConnectFailed
                                                                                                  : reason::EndpointFailed;
        if (ended() || !tryAgainAfter(end, endpoint->id))
            break;
    }
    co_await conclude(why);
}

template <call_codec Dialect>
bool forward_call<Dialect>::tryAgainAfter(attempt_end end, const std::string& endpointId)
{
    m_tried.insert(endpointId);
    m_noRetryReason = noRetryReasonAfter({ end, m_route->kind, m_route->resumable, m_mayHaveRunAt, m_route->mostEndpoints, timeLeft() });
    if (m_crashes >= crash_suspects::crashesToBlock)
        m_noRetryReason = no_retry_reason::Poison;
    // A send that never left is no burden on any endpoint, so it needs no budget.
    bool needsBudget = m_noRetryReason == no_retry_reason::None && end != attempt_end::NotSent;
    if (needsBudget && !m_shared.budget.tryAgain(m_service->name, m_shared.link.entries(), m_shared.clock.now()))
        m_noRetryReason = no_retry_reason::RetryBudgetSpent;
    bool allowed = m_noRetryReason == no_retry_reason::None;
    auto why = end == attempt_end::NotSent ? reason::ConnectFailed : end == attempt_end::RefusedUnrun ? reason::EndpointRefused
                                                                                                      : reason::EndpointFailed;
    if (allowed)
        m_shared.counters.countRetry(why);
    logEvent("attempt_failed", { { "request", m_head.id }, { "endpoint", endpointId }, { "why", reasonName(why) }, { "stalled", end == attempt_end::Stalled ? 1 : 0 }, { "may_have_run_at", m_mayHaveRunAt }, { "again", allowed ? 1 : 0 }, { "no_retry_reason", noRetryReasonName(m_noRetryReason) }, { "age_ms", age().count() } });
    return allowed;
}

template <call_codec Dialect>
task_of<attempt_end> forward_call<Dialect>::sendTo(const picked_endpoint& endpoint, attempt_options orders)
{
    auto connection = co_await open(endpoint, idempotent());
    if (!connection)
        co_return ended() ? attempt_end::Stalled : attempt_end::NotSent;
    if (m_sends++ == 0)
        m_shared.budget.onFirst(m_service->name, m_shared.clock.now());
    ++m_mayHaveRunAt;
    m_attemptExpired = false;
    m_endpoints += (m_endpoints.empty() ? "" : ",") + endpoint.id;
    orders.timeLeft = timeLeft();
    connection->beginSend(Dialect::encodeRequest(m_request, orders));
    bool mayGoElsewhere = idempotent() && m_mayHaveRunAt < m_route->mostEndpoints;
    if (mayGoElsewhere)
        armAttempt(std::max(m_route->latencyTarget * forwarding_detail::patienceInTargets, milliseconds(300)));
    auto end = co_await receive(endpoint);
    bool expired = m_attemptExpired;
    disarmAttempt();
    if (end != attempt_end::Answered && m_current) {
        if (!m_current->reusable())
            m_current->close();
        m_current.reset();
    }
    if (end == attempt_end::RefusedUnrun)
        --m_mayHaveRunAt;
    if (ended())
        co_return end == attempt_end::RefusedUnrun ? end : attempt_end::Stalled;
    if (end == attempt_end::MayHaveRun && expired)
        co_return attempt_end::Stalled;
    co_return end;
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::conclude(reason whyNotServed)
{
    if (m_callerGone) {
        m_outcome = reasonName(reason::CallerGone);
        co_return;
    }
    if (m_answerBegun) {
        // A part of the answer is out. Only a broken connection tells the caller that it is not the whole.
        m_outcome = m_deadlinePassed ? "cut_at_deadline" : "cut_midway";
        logCut(m_deadlinePassed ? "deadline" : noRetryReasonName(m_noRetryReason));
        m_keepAlive = false;
        m_caller->close();
        co_return;
    }
    if (!m_spareAnswer.empty()) {
        m_keepAlive = false;
        m_answerBegun = true;
        m_status = m_spareStatus;
        m_outcome = "answered";
        bool written = co_await m_caller->write(std::move(m_spareAnswer));
        m_callerGone = !written;
        co_return;
    }
    if (m_mayHaveRunAt > 0) {
        auto why = m_deadlinePassed ? reason::DeadlinePassed : reason::EndpointFailed;
        error_response refusal { why, httpStatus(why), std::nullopt };
        co_await refuse(refusal);
        co_return;
    }
    auto why = m_deadlinePassed ? reason::DeadlineUnreachable : whyNotServed;
    error_response refusal { why, httpStatus(why), std::max(m_retryAfter, forwarding_detail::comeBackSoon) };
    co_await refuse(refusal);
}

template <call_codec Dialect>
task_of<void> forward_call<Dialect>::refuse(error_response refusal)
{
    m_keepAlive = m_keepAlive && !m_shared.draining;
    m_shared.counters.countRefusal(refusal.cause);
    m_status = refusal.status;
    m_outcome = reasonName(refusal.cause);
    m_answerBegun = true;
    auto bytes = Dialect::encodeErrorResponse(m_head, refusal, !m_keepAlive);
    bool written = co_await m_caller->write(std::move(bytes));
    m_callerGone = m_callerGone || !written;
    if (!m_route)
        logEnd();
}

template <call_codec Dialect>
void forward_call<Dialect>::judge(const std::string& endpointId, endpoint_verdict verdict)
{
    m_shared.roster.judge(endpointId, verdict);
    if (verdict == endpoint_verdict::Good)
        m_outcomes.succeeded.push_back(endpointId);
    else if (verdict != endpoint_verdict::Refused)
        m_outcomes.failed.push_back(endpointId);
    else if (!m_leftLive)
        m_outcomes.refused.push_back(endpointId);
}

template <call_codec Dialect>
void forward_call<Dialect>::logCut(std::string_view why) const
{
    auto latestVersion = m_shared.link.table() ? m_shared.link.table()->version() : 0;
    logEvent("answer_cut", { { "request", m_head.id }, { "why", why }, { "route", m_route->name }, { "version", m_table->version() }, { "latest_version", latestVersion }, { "events", m_eventsPassed }, { "may_have_run_at", m_mayHaveRunAt }, { "most_endpoints", m_route->mostEndpoints }, { "resumable", resumable() ? 1 : 0 }, { "deadline_ms", m_head.deadline.value_or(milliseconds(0)).count() }, { "timeout_ms", m_route->timeout.count() }, { "time_left_ms", timeLeft().count() }, { "endpoint_wait_ms", m_endpointWait.count() }, { "engines_full", m_enginesFull ? 1 : 0 }, { "draining", m_shared.draining ? 1 : 0 }, { "age_ms", age().count() } });
}

template <call_codec Dialect>
void forward_call<Dialect>::cutAtShutdown()
{
    // A refusal or a whole answer that is still being written already has its outcome.
    if (!m_outcome.empty())
        return;
    m_outcome = "cut_at_shutdown";
    if (m_answerBegun)
        logCut("shutdown");
    logEnd();
}

template <call_codec Dialect>
void forward_call<Dialect>::logEnd()
{
    // A call cut at shutdown may resume after its connection is closed; log its end only once.
    if (std::exchange(m_endLogged, true))
        return;
    m_shared.counters.observe("call_seconds", age());
    logEvent("call_ended", { { "request", m_head.id }, { "route", m_route ? m_route->name : std::string() }, { "organisation", m_organisation ? m_organisation->name : std::string() }, { "version", m_table ? m_table->version() : 0 }, { "outcome", m_outcome }, { "status", m_status }, { "endpoints", m_endpoints }, { "prompt_read_at", m_promptReadAt }, { "prompt_read_ms", m_promptReadIn.count() }, { "sends", m_sends }, { "tokens", m_tokens }, { "first_ms", m_firstPiece.count() }, { "pause_ms", m_longestPause.count() }, { "ms", age().count() } });
}

} // namespace pistachiolatch
