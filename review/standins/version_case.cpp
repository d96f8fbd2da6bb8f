// Case: the operator's versions are large numbers. A change that withdraws a key and adds a route is one version above the last.
#include "harness.h"

using namespace review;

namespace {
constexpr const char* keptKey = "3d3zji9n73hh2b9wu3fe";
constexpr const char* withdrawnKey = "xd9dnn2ctnfzs989anu6";
constexpr int configApplyMs = 2000;
constexpr int revokeMs = 5000;
constexpr int watchedMs = 12000;
constexpr int intervalMs = 250;

struct breaks {
    int oldReads = 0;
    int missingRoutes = 0;
    int withdrawnRuns = 0;
    int newReads = 0;
    int newRouteRuns = 0;
    int refusedKeys = 0;

    int all() const { return oldReads + missingRoutes + withdrawnRuns; }
};

route makeRoute(const std::string& name)
{
    return { name, "safe", "wuno96b", 2, false, 1000, 100 };
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
    std::uint64_t first = trouble ? 9007199254740992U : 8192U;
    auto before = std::to_string(first);
    auto after = std::to_string(first + 1);
    std::vector<std::string> services { "wuno96b" };
    if (system.putConfiguration(configuration(before, { makeRoute("kit") }, services, { keptKey, withdrawnKey })).status != 200)
        return cannotRun;
    record.line("configuration " + before + " is acknowledged");
    for (int n = 1; n <= 3; ++n)
        system.startRunner(n, "i-7f3a91c" + std::to_string(n), services[0], recordPath);
    if (!system.awaitReady(20000))
        return cannotRun;
    sleepMs(3000);

    auto answer = system.putConfiguration(configuration(after, { makeRoute("kit"), makeRoute("depot") }, services, { keptKey }));
    auto ackedAt = nowMs();
    record.line("configuration " + after + ", which withdraws a key and adds a route, is answered with " + std::to_string(answer.status));
    // A refusal would be no break: nothing would have been accepted.
    if (answer.status != 200)
        return answer.status >= 400 && answer.status < 500 ? held : cannotRun;

    breaks counts;
    int serial = 0;
    auto ask = [&](int entry, const std::string& path, const std::string& key, const std::string& what) {
        auto id = "req-" + std::to_string(1000 + ++serial);
        auto sentAfter = nowMs() - ackedAt;
        auto reply = call(system.entryAddress(entry), callerRequest("GET", path + id, id, key, 1000), 1500);
        record.line("client sent " + id + " (" + what + ") to entry " + std::to_string(entry) + ", " + std::to_string(sentAfter) + " ms after the acknowledgement, and got " + std::to_string(reply.status));
        return reply.status;
    };
    while (nowMs() - ackedAt < watchedMs) {
        sleepMs(intervalMs);
        if (nowMs() - ackedAt <= configApplyMs)
            continue;
        for (int n = 1; n <= system.controls(); ++n) {
            auto sentAfter = nowMs() - ackedAt;
            auto reply = system.getConfiguration(n);
            if (reply.status != 200)
                continue;
            bool isNew = reply.body.find("\"version\":" + after + ",") != std::string::npos;
            ++(isNew ? counts.newReads : counts.oldReads);
            record.line("control " + std::to_string(n) + ", asked " + std::to_string(sentAfter) + " ms after the acknowledgement, answers " + reply.body.substr(0, reply.body.find(',')));
        }
        for (int n = 1; n <= system.entries(); ++n) {
            auto status = ask(n, "/depot/", keptKey, "on the new route");
            counts.missingRoutes += status == 404 ? 1 : 0;
            counts.newRouteRuns += status == 200 ? 1 : 0;
            if (nowMs() - ackedAt <= revokeMs)
                continue;
            status = ask(n, "/kit/", withdrawnKey, "with the withdrawn key");
            counts.withdrawnRuns += status == 200 ? 1 : 0;
            counts.refusedKeys += status == 401 ? 1 : 0;
        }
    }
    char summary[400];
    std::snprintf(summary, sizeof summary, "reads of the older version %d, of the newer %d; requests on the new route: 404 %d, run %d; requests with the withdrawn key: run %d, 401 %d", counts.oldReads, counts.newReads, counts.missingRoutes, counts.newRouteRuns, counts.withdrawnRuns, counts.refusedKeys);
    record.line(summary);
    std::printf("%s\n", summary);
    if (counts.all() > 0)
        return broken;
    return counts.newReads > 0 && counts.newRouteRuns > 0 && counts.refusedKeys > 0 ? held : cannotRun;
}
