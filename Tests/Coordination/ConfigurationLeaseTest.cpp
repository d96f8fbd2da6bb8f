#include "coordination/configuration_lease.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
constexpr time_point start = time_point {} + std::chrono::hours(1);
time_point at(int ms)
{
    return start + milliseconds(ms);
}

configuration_lease leaseOf(std::uint64_t version, time_point until)
{
    configuration_lease lease;
    lease.hold(version);
    lease.vouch(version, until);
    return lease;
}
}

// Guards against an entry that acts on a configuration for its whole lease though it knows of a newer one.
TEST_CASE("A superseded configuration ends when its successor must be in force")
{
    auto lease = leaseOf(14, at(4000));
    lease.supersede(17, at(1500));
    CHECK(lease.until() == at(1500));
    // A later word on the same change, or on an older version, gives it no more time.
    lease.supersede(17, at(1900));
    lease.vouch(14, at(4500));
    lease.vouch(17, at(5000));
    CHECK(lease.until() == at(1500));
    lease.supersede(17, at(1200));
    CHECK(lease.until() == at(1200));
    lease.hold(17);
    CHECK(lease.until() == at(5000));
}

// Guards against an entry that stays useless, or goes on too long, when changes come faster than it applies them.
TEST_CASE("Of several successors the oldest that is not applied ends a configuration")
{
    auto lease = leaseOf(14, at(4000));
    lease.vouch(19, at(6000));
    lease.supersede(17, at(1500));
    lease.supersede(19, at(1800));
    lease.hold(17);
    CHECK(lease.until() == at(1800));
    lease.hold(19);
    CHECK(lease.until() == at(6000));
    // What is held already ends nothing.
    lease.supersede(19, at(2000));
    lease.supersede(17, at(2000));
    CHECK(lease.until() == at(6000));
}

// Guards against memory that grows with changes, and against losing the end of what is held among many of them.
TEST_CASE("However many changes are announced, the configuration held ends in time")
{
    auto lease = leaseOf(1, at(4000));
    for (std::uint64_t version = 2; version < 1000; ++version)
        lease.supersede(version, at(1500 + static_cast<int>(version)));
    CHECK(lease.until() == at(1502));
}
