// Distribution of configuration and endpoints to entries.
#include "coordination/entry_coordinator.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// About 13 ms at 10 Mbit/s, so that other messages hardly wait behind a piece.
    constexpr std::size_t pieceBytes = 16UL * 1024;
    /// Ages are capped at this value, which is above any bound on changes.
    constexpr milliseconds maxReportedAge = std::chrono::hours(24);
    /// Endpoints in one update; at most about the size of a piece.
    constexpr std::size_t endpointsPerUpdate = 100;
}

void entry_coordinator::fillUpdate(wire::entry_update& update, entry_session& session)
{
    const auto& document = m_replica.document();
    update.set_term(m_replica.term());
    update.set_document_version(document.version());
    update.set_document_age_ms(saturatingCast<std::uint32_t>(std::min(m_replica.documentAge(), maxReportedAge).count()));
    if (document.version() > session.documentVersion) {
        // Entries of earlier versions don't support pieces.
        if (!session.supportsPieces)
            *update.mutable_document() = document;
        session.documentVersion = document.version();
    }
    fillEndpoints(update, session);
    if (session.blocksVersion != m_blocks.version()) {
        *update.mutable_blocked() = m_blocks.blocks();
        update.set_blocks_version(m_blocks.version());
        session.blocksVersion = m_blocks.version();
    }
    if (session.evacuationRevision != m_replica.evacuations().revision()) {
        *update.mutable_evacuations() = m_replica.evacuations().encode();
        session.evacuationRevision = m_replica.evacuations().revision();
    }
    for (auto& service : m_slotPlanner.queuedServices())
        update.add_queued_services(std::move(service));
    session.queuedServicesVersion = m_queuedServicesVersion;
    update.set_entries(static_cast<std::uint32_t>(m_entries.size()));
}

void entry_coordinator::fillEndpoints(wire::entry_update& update, entry_session& session)
{
    bool known = session.directorySource == m_directory.source();
    auto maxRows = session.supportsPieces ? endpointsPerUpdate : m_directory.size();
    auto base = known ? session.directoryVersion : 0;
    auto page = m_directory.pageSince(base, maxRows);
    for (auto& row : page.rows) {
        auto leavingFor = std::min(m_directory.leavingFor(row.report().id(), m_clock.now()), maxReportedAge);
        row.set_leaving_ms(saturatingCast<std::uint32_t>(leavingFor.count()));
        *update.add_endpoints() = std::move(row);
    }
    update.set_directory_source(m_directory.source());
    update.set_directory_base(base);
    update.set_directory_version(page.version);
    update.set_more_endpoints(page.more);
    session.directorySource = m_directory.source();
    session.directoryVersion = page.version;
}

void entry_coordinator::pushChanges()
{
    if (!m_replica.isLeader())
        return;
    for (auto& [peer, session] : m_entries) {
        bool current = session.documentVersion >= m_replica.document().version() && session.directorySource == m_directory.source()
            && session.directoryVersion == m_directory.version() && session.blocksVersion == m_blocks.version()
            && session.queuedServicesVersion == m_queuedServicesVersion && session.evacuationRevision == m_replica.evacuations().revision();
        if (current)
            continue;
        wire::envelope message;
        fillUpdate(*message.mutable_entry_update(), session);
        session.peer->send(message);
    }
}

void entry_coordinator::onDirectoryRequest(const wire::directory_ask& request, const peer_network::peer& from)
{
    auto found = m_entries.find(from.get());
    if (found == m_entries.end() || !m_replica.isLeader())
        return;
    found->second.directorySource = request.source();
    found->second.directoryVersion = request.version();
    wire::envelope message;
    fillUpdate(*message.mutable_entry_update(), found->second);
    from->send(message);
}

void entry_coordinator::onDocumentRequest(const wire::document_ask& request, const peer_network::peer& from)
{
    auto found = m_entries.find(from.get());
    if (found == m_entries.end() || !m_replica.isLeader())
        return;
    if (request.version() == 0 && request.held_version() >= m_replica.document().version()) {
        m_pacer.finish(from.get(), m_clock.now());
    } else {
        found->second.pieceRequest = request;
        m_pacer.request(from.get(), m_clock.now());
    }
    sendPieces();
}

void entry_coordinator::sendPieces()
{
    while (auto reader = m_pacer.next(m_clock.now())) {
        auto found = m_entries.find(*reader);
        if (found == m_entries.end() || !sendPiece(found->second))
            m_pacer.remove(*reader);
    }
    auto due = m_pacer.nextPollAt(m_clock.now());
    if (due == time_point::max())
        return;
    m_pieceTimer.expires_after(due - m_clock.now());
    m_pieceTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            sendPieces();
    });
}

bool entry_coordinator::sendPiece(entry_session& session)
{
    auto piece = m_documents.findPiece(session.pieceRequest, pieceBytes);
    if (!piece)
        return false;
    wire::envelope message;
    *message.mutable_document_piece() = std::move(*piece);
    session.peer->send(message);
    return true;
}

} // namespace pistachiolatch
