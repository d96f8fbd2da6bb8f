#pragma once
#include "routing/configuration.h"

namespace pistachiolatch {

/// The rank of a call among those that wait for the same endpoints; 0 is the most urgent. The organisation is null if the
/// call belongs to none.
inline unsigned callPriority(const route_config& route, const organisation_config* organisation)
{
    return organisation ? organisation->priority.value_or(route.priority) : route.priority;
}

} // namespace pistachiolatch
