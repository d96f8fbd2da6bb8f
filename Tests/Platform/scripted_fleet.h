#pragma once
#include "Platform/platform_fleet.h"
#include "Platform/scripted_endpoint.h"
#include "platform_names.h"
#include <catch2/catch.hpp>
#include <memory>

namespace pistachiolatch::test {

/// An entry in front of endpoints whose responses the test writes.
class scripted_fleet {
public:
    platform_fleet platform;

    struct options {
        std::string configuration = exampleConfiguration(7);
        int entries = 1;
        /// The memory stated to the processes; 0 states none.
        int memoryMb = 0;
        /// Whether entries can be cut from the endpoints.
        bool partitionable = false;
    };

    scripted_fleet()
        : scripted_fleet(options())
    {
    }

    explicit scripted_fleet(const options& given)
        : platform(1, given.entries)
    {
        platform.setMemory(given.memoryMb);
        if (given.partitionable)
            platform.makePartitionable();
        platform.start();
        REQUIRE(platform.submitConfiguration(given.configuration) == 200);
    }

    /// Starts an endpoint that answers each request with the script's response, with a seal if it is a success.
    scripted_endpoint& addEndpoint(const std::string& service, const std::string& stage, scripted_endpoint::script script)
    {
        auto n = static_cast<int>(m_endpoints.size()) + 1;
        auto address = platform.endpointAddress(n);
        auto respond = [script = std::move(script)](const http_exchange::request& request) {
            auto response = script(request);
            if (response.status == 200)
                response.headers.emplace_back(platform_names::responseSeal, "seal");
            return response;
        };
        m_endpoints.push_back(std::make_unique<scripted_endpoint>(address, std::move(respond)));
        // The fake endpoint only writes the reports.
        m_reports.push_back(std::make_unique<fake_endpoint>(fmt::format("endpoint-{}", n), platform.endpointAddress(100 + n), service, stage));
        m_reports.back()->setReportedAddress(address);
        REQUIRE(platform.sendReport(*m_reports.back()).status == 200);
        auto known = fmt::format("event=endpoint_known endpoint=endpoint-{} ", n);
        REQUIRE(eventually([&] { return entryLog().find(known) != std::string::npos && platform.isEntryReady(1); }));
        return *m_endpoints.back();
    }

    simple_response send(const std::string& path, const std::string& id = "one", const std::string& body = "the prompt", milliseconds deadline = milliseconds(5000)) const
    {
        http_headers headers { { "Host", "h.example" }, { platform_names::authorization, "Token key-1" }, { platform_names::requestId, id },
            { platform_names::tokenUsage, "500,432" }, { platform_names::deadlineMs, std::to_string(deadline.count()) } };
        return platform.call(platform.entryAddress(1), "POST", path, headers, body);
    }

    std::string entryLog() const { return readFile(platform.folder() + "/entry-1.out"); }

private:
    std::vector<std::unique_ptr<scripted_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<fake_endpoint>> m_reports;
};

} // namespace pistachiolatch::test
