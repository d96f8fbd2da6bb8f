// Guards against entries that take up what a former leader sends late, or a part of a directory for all of it, and then refuse requests
// to endpoints that are well.
#include "Coordination/coordination_fleet.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
constexpr std::chrono::milliseconds bound { 8000 };
constexpr std::uint64_t blockedRequest = 77;

/// What a control process tells entries.
struct told_state {
    bool leads = false;
    std::uint64_t term = 0;
    std::uint64_t source = 0;
    /// Ids of endpoints in the order of their changes; the directory's version is their number.
    std::vector<std::string> endpoints;
    std::vector<std::uint64_t> blocked;
};

/// A control process whose answers a test holds back.
class scripted_control {
public:
    told_state state;
    /// Whether answers are kept instead of being sent.
    bool holdsAnswers = false;

    scripted_control(boost::asio::io_context& context, const clock_source& clock, const std::string& address)
        : m_network(context, clock, m_metrics)
    {
        m_network.onMessage([this](const wire::envelope& message, const peer_network::peer& from) { onMessage(message, from); });
        REQUIRE(m_network.listen(address));
        m_network.start();
    }
    ~scripted_control() { m_network.stop(); }
    scripted_control(const scripted_control&) = delete;
    scripted_control& operator=(const scripted_control&) = delete;

    std::size_t heldAnswers() const { return m_held.size(); }
    void sendHeldAnswers()
    {
        for (const auto& [call, answer] : std::exchange(m_held, {}))
            peer_network::reply(m_entry, call, answer);
    }
    void dropHeldAnswers() { m_held.clear(); }
    /// Tells the entry of an endpoint in an update that it has not asked for.
    void push(const std::string& endpoint)
    {
        state.endpoints.push_back(endpoint);
        wire::envelope message;
        fillUpdate(*message.mutable_entry_update(), state.endpoints.size() - 1);
        m_network.send(m_entry, message);
    }
    const wire::entry_sync& lastSync() const { return m_lastSync; }

private:
    void onMessage(const wire::envelope& message, const peer_network::peer& from)
    {
        m_entry = from;
        if (message.has_directory_ask()) {
            wire::envelope update;
            fillUpdate(*update.mutable_entry_update(), heldVersion(message.directory_ask().source(), message.directory_ask().version()));
            m_network.send(m_entry, update);
        }
        if (!message.has_entry_sync())
            return;
        m_lastSync = message.entry_sync();
        wire::envelope answer;
        auto& update = *answer.mutable_entry_update();
        fillUpdate(update, heldVersion(m_lastSync.directory_source(), m_lastSync.directory_version()));
        auto& blocks = *update.mutable_blocked();
        for (auto fingerprint : state.blocked) {
            blocks.add_requests()->set_fingerprint(fingerprint);
            blocks.mutable_requests()->rbegin()->set_certain(true);
        }
        if (holdsAnswers)
            m_held.emplace_back(message, answer);
        else
            peer_network::reply(from, message, answer);
    }

    std::uint64_t heldVersion(std::uint64_t source, std::uint64_t version) const { return source == state.source ? version : 0; }

    void fillUpdate(wire::entry_update& update, std::uint64_t base) const
    {
        update.set_leads(state.leads);
        if (!state.leads)
            return;
        update.set_term(state.term);
        update.set_directory_source(state.source);
        update.set_directory_base(base);
        update.set_directory_version(state.endpoints.size());
        for (auto i = base; i < state.endpoints.size(); ++i) {
            auto& report = *update.add_endpoints()->mutable_report();
            report.set_id(state.endpoints[i]);
            report.set_service("app");
            report.set_address("127.0.0.1:9");
        }
    }

    metrics m_metrics;
    peer_network m_network;
    peer_network::peer m_entry;
    wire::entry_sync m_lastSync;
    std::vector<std::pair<wire::envelope, wire::envelope>> m_held;
};

/// An entry that follows the first of two control processes, both of which know the same endpoints.
class changing_fleet {
public:
    explicit changing_fleet(int network)
        : former(context, clock, address(network, 1))
        , next(context, clock, address(network, 2))
        , entry(context, clock, address(network, 1))
        , m_nextAddress(address(network, 2))
    {
        former.state = { true, 1, 11, { "one", "two" }, {} };
        next.state = { false, 2, 22, { "one", "two" }, {} };
        entry.link().addControls({ m_nextAddress });
        REQUIRE(await([this] { return entry.endpointCount() == 2; }));
    }
    ~changing_fleet()
    {
        context.restart();
        context.poll();
    }
    changing_fleet(const changing_fleet&) = delete;
    changing_fleet& operator=(const changing_fleet&) = delete;

    bool await(const std::function<bool()>& condition) { return runUntil(context, condition, bound); }
    /// Runs for longer than the interval of syncs.
    void awaitSync() { runFor(milliseconds(700)); }
    /// Runs until what was sent has arrived, which is before the next sync.
    void awaitArrival() { runFor(milliseconds(50)); }
    void runFor(milliseconds time)
    {
        auto until = clock.now() + time;
        runUntil(
            context, [&] { return clock.now() >= until; }, bound);
    }
    /// The former leader's answers are held up until the entry follows the next one.
    void changeLeader()
    {
        former.holdsAnswers = true;
        REQUIRE(await([this] { return former.heldAnswers() > 0; }));
        next.state.leads = true;
        REQUIRE(await([this] { return entry.link().leader() == m_nextAddress && next.lastSync().directory_source() == next.state.source; }));
    }

    boost::asio::io_context context;
    steady_clock_source clock;
    scripted_control former;
    scripted_control next;
    test_entry entry;

private:
    static std::string address(int network, int host) { return fmt::format("127.10.{}.{}:23910", network, host); }

    std::string m_nextAddress;
};
}

TEST_CASE("A late answer of a former leader leaves the new leader's directory whole")
{
    changing_fleet fleet(1);
    fleet.changeLeader();
    fleet.former.sendHeldAnswers();
    fleet.awaitArrival();
    fleet.next.push("three");
    REQUIRE(fleet.await([&] { return fleet.entry.knows("three"); }));
    CHECK(fleet.entry.endpointCount() == 3);
    fleet.awaitSync();
    CHECK(fleet.next.lastSync().directory_source() == 22);
    CHECK(fleet.entry.endpointCount() == 3);
}

TEST_CASE("A push of a former leader changes neither the directory nor the leader")
{
    changing_fleet fleet(2);
    fleet.changeLeader();
    fleet.former.dropHeldAnswers();
    fleet.former.push("former");
    fleet.awaitArrival();
    fleet.next.push("three");
    REQUIRE(fleet.await([&] { return fleet.entry.knows("three"); }));
    CHECK_FALSE(fleet.entry.knows("former"));
    CHECK(fleet.entry.endpointCount() == 3);
}

TEST_CASE("A push that comes before the answer with the whole directory isn't taken for all of it")
{
    changing_fleet fleet(3);
    fleet.former.holdsAnswers = true;
    fleet.next.holdsAnswers = true;
    fleet.next.state.leads = true;
    REQUIRE(fleet.await([&] { return fleet.next.heldAnswers() > 0; }));
    fleet.next.push("three");
    fleet.next.dropHeldAnswers();
    fleet.next.holdsAnswers = false;
    REQUIRE(fleet.await([&] { return fleet.entry.knows("three"); }));
    CHECK(fleet.entry.knows("one"));
    CHECK(fleet.entry.knows("two"));
}

TEST_CASE("A late answer of a former leader doesn't change the list of blocked requests")
{
    changing_fleet fleet(4);
    fleet.former.state.blocked = { 5 };
    fleet.next.state.blocked = { blockedRequest };
    fleet.changeLeader();
    REQUIRE(fleet.await([&] { return fleet.entry.link().blockOf(blockedRequest) == request_block::Certain; }));
    fleet.next.holdsAnswers = true;
    fleet.former.sendHeldAnswers();
    fleet.awaitSync();
    CHECK(fleet.entry.link().blockOf(5) == request_block::None);
    CHECK(fleet.entry.link().blockOf(blockedRequest) == request_block::Certain);
}

TEST_CASE("A leader that hears of a later term from an entry doesn't answer it as the leader, and one that is asked again repeats what got lost")
{
    boost::asio::io_context context;
    steady_clock_source clock;
    metrics counters;
    const std::string address = "127.10.5.1:23910";
    test_leader leader(context, clock, address);
    peer_network network(context, clock, counters);
    network.onMessage([](const wire::envelope&, const peer_network::peer&) {});
    network.start();
    REQUIRE(runUntil(
        context, [&] { return leader.isLeader(); }, bound));
    auto sync = [&](std::uint64_t term, std::uint64_t blocksSource) {
        wire::envelope message;
        message.mutable_entry_sync()->set_term(term);
        message.mutable_entry_sync()->set_blocks_source(blocksSource);
        std::optional<wire::entry_update> update;
        network.call(address, std::move(message), milliseconds(1000), [&](const wire::envelope* reply) {
            if (reply)
                update = reply->entry_update();
        });
        runUntil(
            context, [&] { return update.has_value(); }, bound);
        return update.value_or(wire::entry_update());
    };
    auto first = sync(1, 0);
    REQUIRE(first.leads());
    CHECK(first.term() > 0);
    CHECK(first.directory_base() == 0);
    CHECK(first.has_blocked());
    CHECK(sync(first.term(), 0).has_blocked());
    CHECK_FALSE(sync(first.term(), first.directory_source()).has_blocked());
    CHECK_FALSE(sync(first.term() + 1, 0).leads());
    network.stop();
    context.restart();
    context.poll();
}
