// Guards against entries that are cut off together and all use the same relays, or one that has left.
#include "coordination/relay_directory.h"
#include <catch2/catch.hpp>
#include <set>

using namespace pistachiolatch;

namespace {
wire::relay_offer makeOffer(const std::string& address, bool cutOff = false)
{
    wire::relay_offer offer;
    offer.set_address(address);
    offer.set_cut_off(cutOff);
    return offer;
}
}

TEST_CASE("An entry receives the offers of others, those that reach endpoints first")
{
    relay_directory directory;
    directory.update("1", makeOffer("one"));
    directory.update("2", makeOffer("two", true));
    directory.update("3", makeOffer("three"));
    auto offers = directory.offersFor("1");
    REQUIRE(offers.offers_size() == 2);
    CHECK(offers.offers(0).address() == "three");
    CHECK(offers.offers(1).address() == "two");
}

TEST_CASE("The version changes with the offers only")
{
    relay_directory directory;
    auto version = directory.version();
    directory.update("1", makeOffer("one"));
    CHECK(directory.version() != version);
    version = directory.version();
    directory.update("1", makeOffer("one"));
    directory.remove("2");
    CHECK(directory.version() == version);
    directory.update("1", makeOffer("one", true));
    CHECK(directory.version() != version);
    version = directory.version();
    // An entry that leaves offers nothing any more.
    directory.update("1", {});
    CHECK(directory.version() != version);
    CHECK(directory.offersFor("2").offers_size() == 0);
}

TEST_CASE("In a large fleet all entries are offered as relays, each to some others")
{
    relay_directory directory;
    constexpr int entries = 300;
    for (int i = 0; i < entries; ++i)
        directory.update(std::to_string(i), makeOffer(std::to_string(i)));
    std::map<std::string, int> offered;
    for (int i = 0; i < entries; ++i) {
        auto offers = directory.offersFor(std::to_string(i));
        REQUIRE(offers.offers_size() == relay_directory::maxOffers);
        for (const auto& offer : offers.offers())
            ++offered[offer.address()];
    }
    CHECK(offered.size() == entries);
    for (const auto& [address, count] : offered)
        CHECK(count == relay_directory::maxOffers);
}
