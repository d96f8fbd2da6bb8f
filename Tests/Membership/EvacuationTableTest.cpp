#include "membership/membership.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
using outcome = evacuation_table::outcome;

wire::evacuation_order makeOrder(const std::string& dataCentre, bool evacuated, std::uint64_t knownRevision)
{
    wire::evacuation_order order;
    order.set_data_centre(dataCentre);
    order.set_evacuated(evacuated);
    order.set_known_revision(knownRevision);
    return order;
}
}

TEST_CASE("An order that is repeated changes nothing and is confirmed again")
{
    evacuation_table table;
    CHECK(table.apply(makeOrder("a", true, 0), 5) == outcome::Applied);
    CHECK(table.apply(makeOrder("a", true, 0), 6) == outcome::Applied);
    CHECK(table.revision() == 5);
    CHECK(table.isEvacuated("a"));
    CHECK_FALSE(table.isEvacuated("b"));
    CHECK(table.apply(makeOrder("b", false, 0), 7) == outcome::Applied);
    CHECK(table.revision() == 5);
}

// Guards against work for an evacuated data centre, or an idle one, after a copy of an order that arrives late.
TEST_CASE("A copy of an order that arrives after a contrary one changes nothing")
{
    evacuation_table table;
    table.apply(makeOrder("a", true, 0), 5);
    table.apply(makeOrder("a", false, 5), 6);
    CHECK(table.apply(makeOrder("a", true, 0), 7) == outcome::Stale);
    CHECK_FALSE(table.isEvacuated("a"));
    CHECK(table.apply(makeOrder("a", true, 6), 8) == outcome::Applied);
    CHECK(table.apply(makeOrder("a", false, 5), 9) == outcome::Stale);
    CHECK(table.isEvacuated("a"));
}

TEST_CASE("Orders for different data centres don't make each other stale")
{
    evacuation_table table;
    for (const auto* name : { "a", "b", "c", "d" })
        CHECK(table.apply(makeOrder(name, true, 0), table.revision() + 1) == outcome::Applied);
    CHECK(table.evacuated().size() == 4);
    CHECK(table.apply(makeOrder("b", false, 2), 5) == outcome::Applied);
    CHECK(table.evacuated() == std::set<std::string> { "a", "c", "d" });
}

TEST_CASE("A table is bounded, and its bound doesn't forget evacuations")
{
    evacuation_table table;
    std::uint64_t revision = 0;
    for (; revision < evacuation_table::maxEvacuated; ++revision)
        REQUIRE(table.apply(makeOrder(fmt::format("dc-{}", revision), true, revision), revision + 1) == outcome::Applied);
    CHECK(table.apply(makeOrder("one-more", true, revision), revision + 1) == outcome::Full);
    for (int i = 0; i < 2000; ++i) {
        auto name = fmt::format("other-{}", i);
        table.apply(makeOrder("dc-0", false, revision), revision + 1);
        ++revision;
        REQUIRE(table.apply(makeOrder(name, true, revision), revision + 1) == outcome::Applied);
        ++revision;
        table.apply(makeOrder(name, false, revision), revision + 1);
        ++revision;
        REQUIRE(table.apply(makeOrder("dc-0", true, revision), revision + 1) == outcome::Applied);
        ++revision;
    }
    CHECK(table.evacuated().size() == evacuation_table::maxEvacuated);
    CHECK(table.encode().data_centres_size() <= static_cast<int>(2 * evacuation_table::maxEvacuated));
}

TEST_CASE("A table is restored from its encoding, and an older one changes nothing")
{
    evacuation_table table;
    table.apply(makeOrder("a", true, 0), 5);
    auto older = table.encode();
    table.apply(makeOrder("a", false, 5), 8);
    table.apply(makeOrder("b", true, 8), 9);
    evacuation_table restored;
    CHECK(restored.load(table.encode()));
    CHECK(restored.evacuated() == std::set<std::string> { "b" });
    CHECK(restored.revision() == 9);
    CHECK_FALSE(restored.load(older));
    CHECK(restored.apply(makeOrder("a", true, 5), 10) == outcome::Stale);
}

TEST_CASE("Names of data centres are checked")
{
    CHECK(evacuation_table::isValidName("lv-central-a"));
    CHECK_FALSE(evacuation_table::isValidName(""));
    CHECK_FALSE(evacuation_table::isValidName("a b"));
    CHECK_FALSE(evacuation_table::isValidName("a/b"));
    CHECK_FALSE(evacuation_table::isValidName("a%20b"));
    CHECK_FALSE(evacuation_table::isValidName(std::string(evacuation_table::maxNameLength + 1, 'a')));
}
