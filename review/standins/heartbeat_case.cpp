// Case: a heartbeat of another writer, whose id is no text that can be read, arrives at a control process. Then the operator
// moves a route to another service.
#include "harness.h"

using namespace review;

namespace {
constexpr const char* key = "3d3zji9n73hh2b9wu3fe";
constexpr int configApplyMs = 2000;
constexpr int watchedMs = 40000;
constexpr int intervalMs = 200;

struct phase_counts {
    int byOld = 0;
    int byNew = 0;
    int refused = 0;
};

route makeRoute(const std::string& service)
{
    return { "kit", "safe", service, 2, false, 1000, 100 };
}
}

int main(int argc, char** argv)
{
    if (argc < 3)
        return cannotRun;
    std::string recordPath = argv[2];
    const char* setting = std::getenv("TROUBLE");
    bool trouble = !setting || std::string(setting) != "0";
    ::unlink(recordPath.c_str());
    record_file record(recordPath);
    fleet system(argv[1], 5, 3);
    system.start();
    std::vector<std::string> services { "huvo11a", "wuno96b" };
    if (system.putConfiguration(configuration("7", { makeRoute(services[0]) }, services, { key })).status != 200)
        return cannotRun;
    for (int n = 1; n <= 6; ++n)
        system.startRunner(n, "i-7f3a91c" + std::to_string(n), services[n <= 3 ? 0 : 1], recordPath);
    if (!system.awaitReady(20000))
        return cannotRun;
    sleepMs(3000);

    int serial = 0;
    // One request to each entry; tells which service ran it.
    auto askAll = [&](std::int64_t ackedAt, phase_counts& counts) {
        for (int n = 1; n <= system.entries(); ++n) {
            auto id = "req-" + std::to_string(1000 + ++serial);
            auto sentAfter = nowMs() - ackedAt;
            auto reply = call(system.entryAddress(n), callerRequest("GET", "/kit/" + id, id, key, 1000), 1500);
            bool ranByOld = reply.status == 200 && reply.body.find("service=" + services[0] + " ") == 0;
            bool ranByNew = reply.status == 200 && reply.body.find("service=" + services[1] + " ") == 0;
            counts.byOld += ranByOld ? 1 : 0;
            counts.byNew += ranByNew ? 1 : 0;
            counts.refused += ranByOld || ranByNew ? 0 : 1;
            record.line("client sent " + id + " to entry " + std::to_string(n) + ", " + std::to_string(sentAfter) + " ms after the acknowledgement, and got " + std::to_string(reply.status) + " " + reply.body.substr(0, reply.body.find(',')));
        }
    };
    phase_counts before;
    auto startedAt = nowMs();
    record.line("before the change; times count from here");
    for (int i = 0; i < 5; ++i) {
        askAll(startedAt, before);
        sleepMs(intervalMs);
    }
    if (before.refused > 0)
        return cannotRun;
    if (trouble) {
        // No service has this name, and nothing listens at the address.
        std::string body = "{\"service\":\"lumo3\",\"address\":\"127.0.0.1:9\",\"zone\":\"nottingham\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1796394000000}";
        // To each control process in turn, as endpoints and the operator pick any of them.
        for (int n = 1; n <= system.controls(); ++n) {
            auto reply = call(system.controlAddress(n), jsonRequest("PUT", "/-/instances/i-\xff\xfe\x80", body), 1000);
            record.line("a heartbeat with the id i-\\xff\\xfe\\x80 was answered with " + std::to_string(reply.status) + " " + reply.body);
        }
    }
    sleepMs(200);
    if (system.putConfiguration(configuration("9", { makeRoute(services[1]) }, services, { key })).status != 200)
        return cannotRun;
    auto ackedAt = nowMs();
    record.line("configuration 9, which moves the route to " + services[1] + ", is acknowledged");
    phase_counts inTime;
    phase_counts late;
    while (nowMs() - ackedAt < watchedMs) {
        // Each of these requests is sent later than the bound, or counted with those that aren't.
        bool isLate = nowMs() - ackedAt > configApplyMs;
        askAll(ackedAt, isLate ? late : inTime);
        sleepMs(intervalMs);
    }
    auto summary = "sent later than " + std::to_string(configApplyMs) + " ms after the acknowledgement: " + std::to_string(late.byOld) + " run by the old service, " + std::to_string(late.byNew) + " by the new one, " + std::to_string(late.refused) + " refused";
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    if (late.byOld > 0)
        return broken;
    return late.byNew > 0 ? held : cannotRun;
}
