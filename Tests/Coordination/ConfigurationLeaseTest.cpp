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
    lease.setApplied(version);
    lease.confirm(version, until);
    return lease;
}
}

// Guards against an entry that acts on a configuration for the full lease although it knows of a newer one.
TEST_CASE("The lease of a superseded configuration expires when its successor must be in force")
{
    auto lease = leaseOf(14, at(4000));
    lease.supersede(17, at(1500));
    CHECK(lease.expiry() == at(1500));
    // Later messages about the same change or an older version don't extend the lease.
    lease.supersede(17, at(1900));
    lease.confirm(14, at(4500));
    lease.confirm(17, at(5000));
    CHECK(lease.expiry() == at(1500));
    lease.supersede(17, at(1200));
    CHECK(lease.expiry() == at(1200));
    lease.setApplied(17);
    CHECK(lease.expiry() == at(5000));
}

// Guards against an entry whose lease expires too early or too late when changes come faster than it applies them.
TEST_CASE("The oldest successor that is not applied limits the lease")
{
    auto lease = leaseOf(14, at(4000));
    lease.confirm(19, at(6000));
    lease.supersede(17, at(1500));
    lease.supersede(19, at(1800));
    lease.setApplied(17);
    CHECK(lease.expiry() == at(1800));
    lease.setApplied(19);
    CHECK(lease.expiry() == at(6000));
    // Versions that are already applied don't limit the lease.
    lease.supersede(19, at(2000));
    lease.supersede(17, at(2000));
    CHECK(lease.expiry() == at(6000));
}

// Guards against memory that grows with the number of changes, and against dropping the expiry of the applied version.
TEST_CASE("The lease expires in time however many changes are announced")
{
    auto lease = leaseOf(1, at(4000));
    for (std::uint64_t version = 2; version < 1000; ++version)
        lease.supersede(version, at(1500 + static_cast<int>(version)));
    CHECK(lease.expiry() == at(1502));
}
