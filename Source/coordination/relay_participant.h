#pragma once
#include "wire/generated/pistachiolatch.pb.h"

namespace pistachiolatch {

/// An entry's part in relaying: states its own offer and receives those of others. Called on the context's thread.
class relay_participant {
public:
    virtual ~relay_participant() = default;
    virtual wire::relay_offer offer() const = 0;
    virtual void onOffers(const wire::relay_list& offers) = 0;
};

} // namespace pistachiolatch
