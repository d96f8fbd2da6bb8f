// Guards against entries that take a silent endpoint for a broken link of their own, or the reverse.
#include "forwarding/endpoint_paths.h"
#include "forwarding/relay_choice.h"
#include <catch2/catch.hpp>

using namespace pistachiolatch;

namespace {
/// Records that an endpoint could not be reached directly, but through another entry.
void block(endpoint_paths& paths, const std::string& endpoint)
{
    paths.recordDirectFailure(endpoint);
    paths.recordReachedByRelay(endpoint);
}

wire::relay_list makeOffers(std::initializer_list<std::pair<std::string, bool>> relays)
{
    wire::relay_list list;
    for (const auto& [address, cutOff] : relays) {
        auto& offer = *list.add_offers();
        offer.set_address(address);
        offer.set_cut_off(cutOff);
    }
    return list;
}
}

TEST_CASE("One endpoint that only others reach is relayed alone")
{
    manual_clock_source clock;
    endpoint_paths paths(clock);
    CHECK(paths.choose("a") == connection_path::Direct);
    block(paths, "a");
    CHECK(paths.choose("a") == connection_path::Relay);
    CHECK(paths.choose("b") == connection_path::Direct);
    CHECK_FALSE(paths.isCutOff());
    paths.recordDirectSuccess("a");
    CHECK(paths.choose("a") == connection_path::Direct);
}

TEST_CASE("An entry is cut off once only others reach several endpoints, until a direct connection succeeds")
{
    manual_clock_source clock;
    endpoint_paths paths(clock);
    paths.recordDirectFailure("a");
    CHECK_FALSE(paths.recordReachedByRelay("a"));
    paths.recordDirectFailure("b");
    CHECK(paths.recordReachedByRelay("b"));
    CHECK(paths.isCutOff());
    CHECK(paths.choose("never tried") == connection_path::Relay);
    paths.recordDirectSuccess("never tried");
    CHECK_FALSE(paths.isCutOff());
    CHECK(paths.blockedCount() == 0);
}

TEST_CASE("An entry that reaches other endpoints is not cut off")
{
    manual_clock_source clock;
    endpoint_paths paths(clock);
    for (const auto* endpoint : { "a", "b", "c" }) {
        block(paths, endpoint);
        paths.recordDirectSuccess("d");
    }
    CHECK_FALSE(paths.isCutOff());
    CHECK(paths.blockedCount() == 3);
}

TEST_CASE("A failure is suspected to be the entry's own only beside others")
{
    manual_clock_source clock;
    endpoint_paths paths(clock);
    paths.recordDirectFailure("a");
    CHECK_FALSE(paths.suspectsOwnLinks("a"));
    CHECK(paths.suspectsOwnLinks("b"));
    clock.advance(std::chrono::seconds(4));
    CHECK_FALSE(paths.suspectsOwnLinks("b"));
    paths.recordDirectFailure("a");
    paths.recordDirectSuccess("c");
    CHECK_FALSE(paths.suspectsOwnLinks("b"));
}

TEST_CASE("Direct paths are probed in turn while any is blocked")
{
    manual_clock_source clock;
    endpoint_paths paths(clock);
    CHECK_FALSE(paths.nextProbe());
    block(paths, "a");
    block(paths, "b");
    CHECK_FALSE(paths.nextProbe());
    clock.advance(milliseconds(500));
    CHECK(paths.nextProbe() == "a");
    CHECK_FALSE(paths.nextProbe());
    clock.advance(milliseconds(500));
    CHECK(paths.nextProbe() == "b");
    clock.advance(milliseconds(500));
    CHECK(paths.nextProbe() == "a");
    paths.forget("a");
    paths.forget("b");
    CHECK_FALSE(paths.isCutOff());
    clock.advance(milliseconds(500));
    CHECK_FALSE(paths.nextProbe());
}

TEST_CASE("Relays that are cut off or have just refused are not asked, the others with equal chances")
{
    manual_clock_source clock;
    relay_choice relays(clock, 7);
    CHECK(relays.empty());
    CHECK_FALSE(relays.choose({}));
    relays.setOffers(makeOffers({ { "1", false }, { "2", true }, { "3", false }, { "4", false } }));
    std::map<std::string, int> chosen;
    for (int i = 0; i < 3000; ++i)
        ++chosen[relays.choose({})->address()];
    CHECK(chosen.count("2") == 0);
    for (const auto* address : { "1", "3", "4" })
        CHECK(chosen[address] > 800);
    relays.recordUnavailable("1");
    CHECK(relays.choose({ "3" })->address() == "4");
    CHECK_FALSE(relays.choose({ "3", "4" }));
    clock.advance(std::chrono::seconds(1));
    CHECK(relays.choose({ "3", "4" })->address() == "1");
}
