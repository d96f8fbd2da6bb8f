#pragma once
#include "membership/membership.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <set>
#include <string>

namespace pistachiolatch {

/// Receives endpoint updates from an entry's link to control, and provides the entry's own load.
class endpoint_listener {
public:
    virtual ~endpoint_listener() = default;
    /// Rows that changed, or all rows of a new directory source if everything is set.
    virtual void onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything) = 0;
    /// The load of all other entries by endpoint; endpoints that are not listed have none.
    virtual void onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others) = 0;
    /// The data centres whose endpoints get no new work, in place of those named before.
    virtual void onEvacuated(const std::set<std::string>& dataCentres) = 0;
    /// Adds this entry's load by endpoint.
    virtual void fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>& own) const = 0;
    /// Adds this entry's running model calls.
    virtual void fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const = 0;
};

} // namespace pistachiolatch
