#include "coordination/leader_updates.h"

#include <algorithm>

namespace pistachiolatch {

bool leader_updates::admit(const wire::entry_update& update)
{
    if (update.term() != 0 && update.term() < m_term)
        return false;
    m_term = std::max(m_term, update.term());
    return true;
}

directory_step leader_updates::takeDirectory(const wire::entry_update& update)
{
    if (update.directory_source() == 0)
        return directory_step::None;
    bool isOther = update.directory_source() != m_directorySource;
    bool hasBase = update.term() != 0;
    if (hasBase && update.directory_base() > (isOther ? 0 : m_directoryVersion))
        return directory_step::Gap;
    m_directorySource = update.directory_source();
    // An update that was requested before another one arrived repeats a part of that.
    m_directoryVersion = isOther || !hasBase ? update.directory_version() : std::max(m_directoryVersion, update.directory_version());
    return isOther ? directory_step::Begins : directory_step::Continues;
}

void leader_updates::takeBlocks(const wire::entry_update& update)
{
    m_blocksSource = update.directory_source();
    m_blocksVersion = update.blocks_version();
}

void leader_updates::fillHeld(wire::entry_sync& sync) const
{
    sync.set_term(m_term);
    sync.set_directory_source(m_directorySource);
    sync.set_directory_version(m_directoryVersion);
    sync.set_blocks_source(m_blocksSource);
    sync.set_blocks_version(m_blocksVersion);
}

wire::directory_ask leader_updates::nextRequest() const
{
    wire::directory_ask request;
    request.set_source(m_directorySource);
    request.set_version(m_directoryVersion);
    return request;
}

} // namespace pistachiolatch
