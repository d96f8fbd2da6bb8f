// What callers see: an entry serves nobody, or serves by a configuration that was withdrawn or never was.
// What happens: pieces of a configuration are lost, come twice, late, out of order, damaged, or from an older leader;
// changes come faster than a transfer takes; the leader is replaced in the middle.
// Why it must not: nothing half-applied may serve, and every transfer must come to its end.
#include "coordination/configuration_lease.h"
#include "coordination/document_fetch.h"
#include "coordination/document_cache.h"
#include "coordination/transfer_pacer.h"
#include <catch2/catch.hpp>
#include <random>

using namespace pistachiolatch;

namespace {
constexpr std::size_t pieceBytes = 1000;

wire::document documentOf(std::uint64_t version, std::uint64_t seed, std::size_t bytes = 20000)
{
    std::mt19937_64 random(seed);
    wire::document document;
    document.set_version(version);
    for (std::size_t i = 0; i < bytes; ++i)
        document.mutable_body()->push_back(static_cast<char>(random()));
    return document;
}

wire::document changed(wire::document document, std::uint64_t version)
{
    document.set_version(version);
    document.mutable_body()->replace(100, 7, fmt::format("{:07}", version));
    return document;
}

/// What a leader with that shelf answers.
std::optional<wire::document_piece> answer(document_shelf& shelf, const wire::document_ask& ask)
{
    return shelf.pieceFor(ask, pieceBytes);
}

time_point at(int ms)
{
    return time_point {} + std::chrono::hours(1) + milliseconds(ms);
}
}

TEST_CASE("A transfer takes up where it was when every second reply is lost")
{
    document_shelf shelf;
    shelf.put(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    int now = 0;
    int asked = 0;
    for (; fetch.wanted() && now < 60000; now += 10) {
        auto ask = fetch.due(at(now));
        if (!ask)
            continue;
        auto piece = answer(shelf, *ask);
        REQUIRE(piece);
        if (++asked % 2 == 0)
            fetch.take(*piece, at(now));
    }
    CHECK(fetch.held().body() == documentOf(7, 1).body());
    CHECK(asked <= 2 * 21);
}

TEST_CASE("A transfer goes on at another leader")
{
    document_shelf first;
    document_shelf second;
    first.put(documentOf(7, 1));
    second.put(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    for (int i = 0; i < 10; ++i)
        CHECK(fetch.take(*answer(first, *fetch.due(at(i))), at(i)) == piece_outcome::Taken);
    fetch.leaderChanged();
    auto ask = fetch.due(at(11));
    REQUIRE(ask);
    CHECK(ask->offset() == 10 * pieceBytes);
    CHECK(fetch.take(*answer(second, *ask), at(11)) == piece_outcome::Taken);
    for (int i = 12; fetch.wanted() && i < 100; ++i)
        fetch.take(*answer(second, *fetch.due(at(i))), at(i));
    CHECK(fetch.held().body() == documentOf(7, 1).body());
}

TEST_CASE("Changes that come faster than a transfer takes don't starve it")
{
    document_shelf shelf;
    shelf.put(documentOf(1, 1));
    document_fetch fetch;
    fetch.announce(1);
    std::uint64_t version = 1;
    std::uint64_t held = 0;
    for (int i = 0; i < 200; ++i) {
        // A piece takes as long as three changes.
        for (int change = 0; change < 3; ++change) {
            ++version;
            shelf.put(changed(documentOf(version, 1), version));
            fetch.announce(version);
        }
        if (auto ask = fetch.due(at(i)))
            fetch.take(*answer(shelf, *ask), at(i));
        CHECK(fetch.held().version() >= held);
        held = fetch.held().version();
    }
    CHECK(held > version - 100);
}

TEST_CASE("Pieces that are damaged, late, doubled or of an older version change nothing")
{
    document_shelf shelf;
    shelf.put(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    auto first = *answer(shelf, *fetch.due(at(0)));
    CHECK(fetch.take(first, at(0)) == piece_outcome::Taken);
    CHECK(fetch.take(first, at(1)) == piece_outcome::Unwanted);
    auto later = first;
    later.set_offset(5 * pieceBytes);
    CHECK(fetch.take(later, at(1)) == piece_outcome::Unwanted);
    document_shelf older;
    older.put(documentOf(6, 2));
    wire::document_ask nothing;
    CHECK(fetch.take(*answer(older, nothing), at(1)) == piece_outcome::Unwanted);
    auto tooLong = first;
    tooLong.set_offset(pieceBytes);
    tooLong.set_bytes(std::string(100 * pieceBytes, 'x'));
    CHECK(fetch.take(tooLong, at(1)) == piece_outcome::Unwanted);
    auto huge = first;
    huge.set_version(9);
    huge.set_packed_bytes(4'000'000'000U);
    CHECK(fetch.take(huge, at(1)) == piece_outcome::Unwanted);

    bool damagedOne = false;
    bool damaged = false;
    for (int i = 2; fetch.wanted() && i < 20000; ++i) {
        auto ask = fetch.due(at(i));
        if (!ask)
            continue;
        auto piece = *answer(shelf, *ask);
        if (!damagedOne && piece.offset() > 0) {
            damagedOne = true;
            (*piece.mutable_bytes())[10] ^= 1;
        }
        auto outcome = fetch.take(piece, at(i));
        if (outcome == piece_outcome::Damaged) {
            damaged = true;
            CHECK(fetch.held().version() == 0);
        }
    }
    CHECK(damaged);
    CHECK(fetch.held().body() == documentOf(7, 1).body());
}

TEST_CASE("A change that was packed against another base is found damaged, and the whole is fetched")
{
    document_shelf shelf;
    shelf.put(documentOf(7, 1));
    shelf.put(changed(documentOf(8, 1), 8));
    document_fetch fetch;
    // The same version with another text, as after damage here.
    fetch.takeWhole(documentOf(7, 3));
    fetch.announce(8);
    bool damaged = false;
    for (int i = 0; fetch.wanted() && i < 20000; ++i) {
        auto ask = fetch.due(at(i));
        if (!ask)
            continue;
        damaged |= fetch.take(*answer(shelf, *ask), at(i)) == piece_outcome::Damaged;
    }
    CHECK(damaged);
    CHECK(fetch.held().body() == changed(documentOf(8, 1), 8).body());
}

TEST_CASE("A small change travels as what changed, from one copy for all entries")
{
    document_shelf shelf;
    shelf.put(documentOf(7, 1, 1'000'000));
    shelf.put(changed(documentOf(8, 1, 1'000'000), 8));
    auto packed = shelf.newestFor(7);
    REQUIRE(packed);
    CHECK(packed->baseVersion == 7);
    CHECK(packed->bytes.size() < 1000);
    for (int i = 0; i < 300; ++i)
        CHECK(shelf.newestFor(7) == packed);
    auto whole = shelf.newestFor(0);
    REQUIRE(whole);
    CHECK(whole->baseVersion == 0);
    CHECK(shelf.newestFor(8) == nullptr);
}

TEST_CASE("The memory of the shelf is bounded while large documents change")
{
    document_shelf shelf;
    for (std::uint64_t version = 1; version <= 60; ++version) {
        shelf.put(documentOf(version, version, 1'000'000));
        shelf.newestFor(0);
        shelf.newestFor(version - 1);
    }
    // Half of a control VM's 256 MB, with most of it left for all else.
    CHECK(shelf.bytes() < 32U * 1024 * 1024);
}

TEST_CASE("A lease counts only for a configuration that is at least as new as the one that was vouched for")
{
    configuration_lease lease;
    lease.vouch(5, at(1000));
    CHECK(lease.until() == time_point {});
    lease.hold(4);
    CHECK(lease.until() == time_point {});
    lease.hold(5);
    CHECK(lease.until() == at(1000));
    lease.vouch(6, at(2000));
    lease.vouch(7, at(3000));
    CHECK(lease.until() == at(1000));
    lease.hold(6);
    CHECK(lease.until() == at(2000));
    lease.vouch(6, at(1500));
    CHECK(lease.until() == at(2000));
    lease.hold(9);
    CHECK(lease.until() == at(3000));
}

TEST_CASE("Pieces under way are bounded by what the leader's link carries without a queue")
{
    // Each piece takes 13 ms of a link of 10 Mbit/s that all readers share.
    transfer_pacer<int> pacer;
    constexpr milliseconds perPiece { 13 };
    constexpr int readers = 60;
    auto now = at(0);
    auto busyUntil = now;
    std::map<int, time_point> arrives;
    milliseconds longestQueue { 0 };
    int sent = 0;
    for (int i = 0; i < readers; ++i)
        pacer.ask(i, now);
    for (int step = 0; step < 20000; ++step) {
        while (auto reader = pacer.next(now)) {
            busyUntil = std::max(busyUntil, now) + perPiece;
            arrives[*reader] = busyUntil;
            ++sent;
            if (sent > 200)
                longestQueue = std::max(longestQueue, std::chrono::duration_cast<milliseconds>(busyUntil - now));
        }
        now += milliseconds(1);
        for (auto it = arrives.begin(); it != arrives.end();) {
            if (it->second > now) {
                ++it;
                continue;
            }
            pacer.ask(it->first, now);
            it = arrives.erase(it);
        }
    }
    // The link is kept busy, and a heartbeat behind the pieces comes before followers give up on the leader.
    CHECK(sent > 1300);
    CHECK(longestQueue < milliseconds(200));
}

TEST_CASE("Readers that never answer don't hold the others up")
{
    transfer_pacer<int> pacer;
    for (int i = 0; i < 100; ++i)
        pacer.ask(i, at(0));
    std::size_t dead = 0;
    while (pacer.next(at(1)))
        ++dead;
    CHECK(dead < 100);
    CHECK(pacer.next(at(1500)));
}
