#include "scheduler/owned_pools.h"

namespace pistachiolatch {

namespace {
    constexpr std::string_view modelPrefix = "model:";
    constexpr std::string_view servicePrefix = "service:";
    /// Entries learn of a new owner within one heartbeat interval and report immediately.
    constexpr milliseconds reservationReportTimeout { 600 };
    constexpr milliseconds crashReportTimeout { 1000 };
}

bool isModelShard(const std::string& shard)
{
    return shard.starts_with(modelPrefix);
}

bool isServiceShard(const std::string& shard)
{
    return shard.starts_with(servicePrefix);
}

owned_pool::owned_pool(const std::string& shard, std::uint64_t epoch, const pool_settings& settings, control_loop& loop, control_session& session, metrics& counters)
    : m_shard(shard)
    , m_epoch(epoch)
    , m_loop(loop)
    , m_session(session)
    , m_metrics(counters)
    , m_pool(shard, isModelShard(shard) ? pool_kind::Model : pool_kind::Service, settings, {})
    , m_ownedSince(loop.now())
{
    configure(*session.config());
    m_pool.replacePoisonMarks(session.poisonMarks());
}

void owned_pool::configure(const config_view& config)
{
    m_pool.setEvacuated(config.evacuatedDataCentres());
    if (!isModelShard(m_shard))
        return;
    if (const auto* model = config.model(m_shard.substr(modelPrefix.size())))
        m_pool.setTargets({ model->firstTokenTarget, model->perTokenTarget });
}

void owned_pool::onPlacementRequest(const wire::envelope& message, time_point now)
{
    pool_request request;
    request.place = message.place();
    request.entryAddress = message.sender_address();
    request.entryName = message.sender();
    request.entryIncarnation = message.sender_incarnation();
    request.call = message.call();
    auto config = m_session.config();
    if (const auto* organisation = config->organisation(message.place().organisation()))
        request.weight = organisation->weight;
    if (const auto* limit = config->limit(message.place().organisation()))
        request.inFlightShare = limit->inFlightShare;
    m_pool.submit(std::move(request), now);
}

void owned_pool::onProgress(const wire::envelope& message, time_point now)
{
    const auto& report = message.progress();
    m_pool.handleProgress(report, now);
    if (report.prefill_wasted())
        m_metrics.count("prefill_wasted_" + report.reason());
    wire::envelope acknowledgement;
    *acknowledgement.mutable_progress() = report;
    m_loop.wire().reply(message, acknowledgement);
}

void owned_pool::onReservationReport(const wire::envelope& message, time_point now)
{
    m_pool.restoreReservations(message.held(), message.sender(), message.sender_incarnation(), now);
    m_reportedEntries.insert(message.sender());
}

void owned_pool::onAnnouncement(const wire::announce_forward& forward, time_point now)
{
    reportCrashes(m_pool.handleAnnouncement(forward.endpoint(), milliseconds(forward.age_ms()), now));
}

bool owned_pool::hasRestoredReservations(time_point now) const
{
    if (now - m_ownedSince > reservationReportTimeout)
        return true;
    for (const auto& process : m_session.live()) {
        if (process.kind() == wire::PROCESS_ENTRY && !m_reportedEntries.count(process.name()))
            return false;
    }
    return true;
}

void owned_pool::schedulePlacements(time_point now)
{
    reportCrashes(m_pool.expireEndpoints(now));
    // Placing requests before the entries have reported their reservations would overload full endpoints.
    if (!hasRestoredReservations(now))
        return;
    for (auto& decision : m_pool.schedule(now)) {
        wire::envelope envelope;
        decision.placement.set_epoch(m_epoch);
        m_metrics.count(decision.placement.refused().empty() ? "placed" : "place_refused_" + decision.placement.refused());
        *envelope.mutable_placement() = std::move(decision.placement);
        envelope.set_reply_to(decision.call);
        envelope.set_receiver_incarnation(decision.entryIncarnation);
        m_loop.wire().send(decision.entryAddress, envelope);
    }
}

void owned_pool::reportCrashes(const std::vector<wire::crash_report>& reports)
{
    for (const auto& report : reports) {
        wire::envelope envelope;
        *envelope.mutable_crash() = report;
        envelope.mutable_crash()->set_shard(m_shard);
        m_metrics.count("endpoint_crash_confirmed");
        m_session.callLeader(envelope, crashReportTimeout, [](const wire::envelope*) {});
    }
}

} // namespace pistachiolatch
