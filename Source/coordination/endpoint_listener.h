#pragma once
#include "membership/membership.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string>

namespace pistachiolatch {

/// What an entry learns of endpoints through its link to control.
class endpoint_listener {
public:
    virtual ~endpoint_listener() = default;
    /// Rows that changed. Those of a source not heard before are everything that it knows.
    virtual void onEndpoints(const google::protobuf::RepeatedPtrField<wire::endpoint_row>& rows, bool everything) = 0;
    /// What the other entries have at the endpoints; endpoints that are not named have nothing.
    virtual void onLoad(const google::protobuf::RepeatedPtrField<wire::endpoint_load>& others) = 0;
    /// What this entry has at the endpoints, for the others.
    virtual void fillLoad(google::protobuf::RepeatedPtrField<wire::endpoint_load>& own) const = 0;
    /// The model calls that this entry has running.
    virtual void fillCalls(google::protobuf::RepeatedPtrField<wire::running_call>& calls) const = 0;
};

} // namespace pistachiolatch
