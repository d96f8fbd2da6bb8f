#pragma once
#include "Platform/platform_fleet.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <set>

namespace pistachiolatch::test {

/// A fleet with an endpoint of the plain service, which has not reported yet.
class plain_fleet {
public:
    platform_fleet platform;
    fake_endpoint app;
    /// The body of the last answer that sendToAll() got.
    std::string lastBody;

    plain_fleet()
        : app("app-1", platform.endpointAddress(1), "app", "")
    {
        platform.start();
        REQUIRE(platform.submitConfiguration(exampleConfiguration(7)) == 200);
    }

    simple_response read(const std::string& requestId, const std::string& path = "/read/x") const
    {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, requestId }, { platform_names::deadlineMs, "3000" } };
        return platform.call(platform.entryAddress(1), "GET", path, headers);
    }

    /// Sends a report, or a deregistration, with this end of the path to every control process. Returns the statuses.
    std::set<unsigned> sendToAll(const std::string& method, const std::string& id, const std::string& body)
    {
        std::set<unsigned> statuses;
        for (const auto& answer : platform.callControls(method, id, body)) {
            statuses.insert(answer.status);
            lastBody = answer.body;
        }
        return statuses;
    }

    /// Puts a configuration in force. Returns whether the entry applies it within the time.
    bool appliesChange(std::uint64_t version, std::chrono::seconds bound) const
    {
        auto applied = fmt::format("event=configuration_applied version={} ", version);
        return platform.submitConfiguration(exampleConfiguration(version)) == 200
            && eventually([&] { return entryLog().find(applied) != std::string::npos; }, bound);
    }

    std::string entryLog() const { return readFile(platform.folder() + "/entry-1.out"); }
};

} // namespace pistachiolatch::test
