// The part of the coordinator that hands configuration and endpoints to the entries.
#include "coordination/entry_coordinator.h"

#include <algorithm>

namespace pistachiolatch {

namespace {
    /// Some 13 ms at 10 Mbit/s: what is sent behind a piece hardly waits.
    constexpr std::size_t pieceBytes = 16UL * 1024;
    /// An age that says no more than that any bound on changes is over.
    constexpr milliseconds oldestTold = std::chrono::hours(24);
    /// Endpoints in one update; as many bytes as a piece, or fewer.
    constexpr std::size_t endpointsPerUpdate = 100;
}

void entry_coordinator::fillUpdate(wire::entry_update& update, entry_session& session)
{
    const auto& document = m_replica.document();
    update.set_document_version(document.version());
    update.set_document_age_ms(static_cast<std::uint32_t>(std::min(m_replica.documentAge(), oldestTold).count()));
    if (document.version() > session.documentVersion) {
        // An entry of an earlier version knows nothing of pieces.
        if (!session.takesPieces)
            *update.mutable_document() = document;
        session.documentVersion = document.version();
    }
    fillEndpoints(update, session);
    if (session.blocksVersion != m_blocks.version()) {
        *update.mutable_blocked() = m_blocks.blocks();
        session.blocksVersion = m_blocks.version();
    }
    update.set_entries(static_cast<std::uint32_t>(m_entries.size()));
}

void entry_coordinator::fillEndpoints(wire::entry_update& update, entry_session& session)
{
    bool known = session.directorySource == m_directory.source();
    auto most = session.takesPieces ? endpointsPerUpdate : m_directory.size();
    auto page = m_directory.pageSince(known ? session.directoryVersion : 0, most);
    for (auto& row : page.rows)
        *update.add_endpoints() = std::move(row);
    update.set_directory_source(m_directory.source());
    update.set_directory_version(page.version);
    update.set_more_endpoints(page.more);
    session.directorySource = m_directory.source();
    session.directoryVersion = page.version;
}

void entry_coordinator::pushChanges()
{
    if (!m_replica.leads())
        return;
    for (auto& [peer, session] : m_entries) {
        bool current = session.documentVersion >= m_replica.document().version() && session.directorySource == m_directory.source()
            && session.directoryVersion == m_directory.version() && session.blocksVersion == m_blocks.version();
        if (current)
            continue;
        wire::envelope message;
        fillUpdate(*message.mutable_entry_update(), session);
        session.peer->send(message);
    }
}

void entry_coordinator::onDirectoryAsk(const wire::directory_ask& ask, const peer_network::peer& from)
{
    auto found = m_entries.find(from.get());
    if (found == m_entries.end() || !m_replica.leads())
        return;
    found->second.directorySource = ask.source();
    found->second.directoryVersion = ask.version();
    wire::envelope message;
    fillUpdate(*message.mutable_entry_update(), found->second);
    from->send(message);
}

void entry_coordinator::onDocumentAsk(const wire::document_ask& ask, const peer_network::peer& from)
{
    auto found = m_entries.find(from.get());
    if (found == m_entries.end() || !m_replica.leads())
        return;
    if (ask.version() == 0 && ask.held_version() >= m_replica.document().version()) {
        m_pacer.finish(from.get(), m_clock.now());
    } else {
        found->second.asked = ask;
        m_pacer.ask(from.get(), m_clock.now());
    }
    sendPieces();
}

void entry_coordinator::sendPieces()
{
    while (auto reader = m_pacer.next(m_clock.now())) {
        auto found = m_entries.find(*reader);
        if (found == m_entries.end() || !sendPiece(found->second))
            m_pacer.forget(*reader);
    }
    auto due = m_pacer.nextDue(m_clock.now());
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
    auto piece = m_shelf.pieceFor(session.asked, pieceBytes);
    if (!piece)
        return false;
    wire::envelope message;
    *message.mutable_document_piece() = std::move(*piece);
    session.peer->send(message);
    return true;
}

} // namespace pistachiolatch
