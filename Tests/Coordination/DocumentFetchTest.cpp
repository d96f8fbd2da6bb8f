// Guards against entries that never receive a configuration, or apply an outdated or corrupt one. Pieces may be lost,
// duplicated, delayed, reordered, corrupt or from an older leader; changes may come faster than a transfer takes; the leader
// may change during a transfer.
#include "coordination/configuration_lease.h"
#include "coordination/document_cache.h"
#include "coordination/document_fetch.h"
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

wire::document changedDocument(wire::document document, std::uint64_t version)
{
    document.set_version(version);
    document.mutable_body()->replace(100, 7, fmt::format("{:07}", version));
    return document;
}

std::optional<wire::document_piece> reply(document_cache& cache, const wire::document_ask& request)
{
    return cache.findPiece(request, pieceBytes);
}

time_point at(int ms)
{
    return time_point {} + std::chrono::hours(1) + milliseconds(ms);
}
}

TEST_CASE("A transfer resumes when every second reply is lost")
{
    document_cache cache;
    cache.store(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    int now = 0;
    int requests = 0;
    for (; fetch.isBehind() && now < 60000; now += 10) {
        auto request = fetch.nextRequest(at(now));
        if (!request)
            continue;
        auto piece = reply(cache, *request);
        REQUIRE(piece);
        if (++requests % 2 == 0)
            fetch.handlePiece(*piece, at(now));
    }
    CHECK(fetch.document().body() == documentOf(7, 1).body());
    CHECK(requests <= 2 * 21);
}

TEST_CASE("A transfer continues at another leader")
{
    document_cache first;
    document_cache second;
    first.store(documentOf(7, 1));
    second.store(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    for (int i = 0; i < 10; ++i)
        CHECK(fetch.handlePiece(*reply(first, *fetch.nextRequest(at(i))), at(i)) == piece_outcome::Accepted);
    fetch.onLeaderChanged();
    auto request = fetch.nextRequest(at(11));
    REQUIRE(request);
    CHECK(request->offset() == 10 * pieceBytes);
    CHECK(fetch.handlePiece(*reply(second, *request), at(11)) == piece_outcome::Accepted);
    for (int i = 12; fetch.isBehind() && i < 100; ++i)
        fetch.handlePiece(*reply(second, *fetch.nextRequest(at(i))), at(i));
    CHECK(fetch.document().body() == documentOf(7, 1).body());
}

TEST_CASE("Changes that come faster than a transfer takes don't starve it")
{
    document_cache cache;
    cache.store(documentOf(1, 1));
    document_fetch fetch;
    fetch.announce(1);
    std::uint64_t version = 1;
    std::uint64_t held = 0;
    for (int i = 0; i < 200; ++i) {
        // Three changes come while one piece is transferred.
        for (int change = 0; change < 3; ++change) {
            ++version;
            cache.store(changedDocument(documentOf(version, 1), version));
            fetch.announce(version);
        }
        if (auto request = fetch.nextRequest(at(i)))
            fetch.handlePiece(*reply(cache, *request), at(i));
        CHECK(fetch.document().version() >= held);
        held = fetch.document().version();
    }
    CHECK(held > version - 100);
}

TEST_CASE("Corrupt, delayed, duplicate and outdated pieces are rejected")
{
    document_cache cache;
    cache.store(documentOf(7, 1));
    document_fetch fetch;
    fetch.announce(7);
    auto first = *reply(cache, *fetch.nextRequest(at(0)));
    CHECK(fetch.handlePiece(first, at(0)) == piece_outcome::Accepted);
    CHECK(fetch.handlePiece(first, at(1)) == piece_outcome::Ignored);
    auto later = first;
    later.set_offset(5 * pieceBytes);
    CHECK(fetch.handlePiece(later, at(1)) == piece_outcome::Ignored);
    document_cache older;
    older.store(documentOf(6, 2));
    wire::document_ask firstRequest;
    CHECK(fetch.handlePiece(*reply(older, firstRequest), at(1)) == piece_outcome::Ignored);
    auto tooLong = first;
    tooLong.set_offset(pieceBytes);
    tooLong.set_bytes(std::string(100 * pieceBytes, 'x'));
    CHECK(fetch.handlePiece(tooLong, at(1)) == piece_outcome::Ignored);
    auto huge = first;
    huge.set_version(9);
    huge.set_packed_bytes(4'000'000'000U);
    CHECK(fetch.handlePiece(huge, at(1)) == piece_outcome::Ignored);

    bool corruptedPiece = false;
    bool corrupted = false;
    for (int i = 2; fetch.isBehind() && i < 20000; ++i) {
        auto request = fetch.nextRequest(at(i));
        if (!request)
            continue;
        auto piece = *reply(cache, *request);
        if (!corruptedPiece && piece.offset() > 0) {
            corruptedPiece = true;
            (*piece.mutable_bytes())[10] ^= 1;
        }
        auto outcome = fetch.handlePiece(piece, at(i));
        if (outcome == piece_outcome::Corrupted) {
            corrupted = true;
            CHECK(fetch.document().version() == 0);
        }
    }
    CHECK(corrupted);
    CHECK(fetch.document().body() == documentOf(7, 1).body());
}

TEST_CASE("A delta against another base is detected as corrupt and the full document is fetched")
{
    document_cache cache;
    cache.store(documentOf(7, 1));
    cache.store(changedDocument(documentOf(8, 1), 8));
    document_fetch fetch;
    // The same version with another content, as after local corruption.
    fetch.replaceDocument(documentOf(7, 3));
    fetch.announce(8);
    bool corrupted = false;
    for (int i = 0; fetch.isBehind() && i < 20000; ++i) {
        auto request = fetch.nextRequest(at(i));
        if (!request)
            continue;
        corrupted |= fetch.handlePiece(*reply(cache, *request), at(i)) == piece_outcome::Corrupted;
    }
    CHECK(corrupted);
    CHECK(fetch.document().body() == changedDocument(documentOf(8, 1), 8).body());
}

TEST_CASE("A small change is transferred as a delta that all entries share")
{
    document_cache cache;
    cache.store(documentOf(7, 1, 1'000'000));
    cache.store(changedDocument(documentOf(8, 1, 1'000'000), 8));
    auto compressed = cache.compressedFor(7);
    REQUIRE(compressed);
    CHECK(compressed->baseVersion == 7);
    CHECK(compressed->bytes.size() < 1000);
    for (int i = 0; i < 300; ++i)
        CHECK(cache.compressedFor(7) == compressed);
    auto whole = cache.compressedFor(0);
    REQUIRE(whole);
    CHECK(whole->baseVersion == 0);
    CHECK(cache.compressedFor(8) == nullptr);
}

TEST_CASE("The memory of the document cache is bounded while large documents change")
{
    document_cache cache;
    for (std::uint64_t version = 1; version <= 60; ++version) {
        cache.store(documentOf(version, version, 1'000'000));
        cache.compressedFor(0);
        cache.compressedFor(version - 1);
    }
    // A control VM may use half of its 256 MB; most of that must remain for everything else.
    CHECK(cache.memoryBytes() < 32U * 1024 * 1024);
}

TEST_CASE("A confirmation extends the lease only of an equal or newer configuration")
{
    configuration_lease lease;
    lease.confirm(5, at(1000));
    CHECK(lease.expiry() == time_point {});
    lease.setApplied(4);
    CHECK(lease.expiry() == time_point {});
    lease.setApplied(5);
    CHECK(lease.expiry() == at(1000));
    lease.confirm(6, at(2000));
    lease.confirm(7, at(3000));
    CHECK(lease.expiry() == at(1000));
    lease.setApplied(6);
    CHECK(lease.expiry() == at(2000));
    lease.confirm(6, at(1500));
    CHECK(lease.expiry() == at(2000));
    lease.setApplied(9);
    CHECK(lease.expiry() == at(3000));
}

TEST_CASE("Pieces in flight are bounded by what the leader's link carries without queueing")
{
    // Each piece takes 13 ms on a link of 10 Mbit/s that all readers share.
    transfer_pacer<int> pacer;
    constexpr milliseconds pieceDuration { 13 };
    constexpr int readers = 60;
    auto now = at(0);
    auto busyUntil = now;
    std::map<int, time_point> arrives;
    milliseconds longestQueue { 0 };
    int sent = 0;
    for (int i = 0; i < readers; ++i)
        pacer.request(i, now);
    for (int step = 0; step < 20000; ++step) {
        while (auto reader = pacer.next(now)) {
            busyUntil = std::max(busyUntil, now) + pieceDuration;
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
            pacer.request(it->first, now);
            it = arrives.erase(it);
        }
    }
    // The link stays busy, and a heartbeat behind the pieces arrives before the election timeout of followers.
    CHECK(sent > 1300);
    CHECK(longestQueue < milliseconds(200));
}

TEST_CASE("Readers that never reply don't block the others")
{
    transfer_pacer<int> pacer;
    for (int i = 0; i < 100; ++i)
        pacer.request(i, at(0));
    std::size_t sentPieces = 0;
    while (pacer.next(at(1)))
        ++sentPieces;
    CHECK(sentPieces < 100);
    CHECK(pacer.next(at(1500)));
}
