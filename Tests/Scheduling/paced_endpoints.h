#pragma once
#include "scheduling/scheduling.h"

namespace pistachiolatch::test {

/// An endpoint of service "s" with more slots than any test fills.
inline wire::endpoint_row makePacedRow(const std::string& id, wire::endpoint_stage stage, std::uint64_t bornMs = 1)
{
    wire::endpoint_row row;
    auto& report = *row.mutable_report();
    report.set_id(id);
    report.set_born_ms(bornMs);
    report.set_service("s");
    report.set_slots(1000);
    report.set_stage(stage);
    return row;
}

/// A call to service "s" that hardly takes memory.
inline placement_request makePacedRequest(std::uint64_t id)
{
    placement_request request;
    request.callId = id;
    request.service = "s";
    request.promptTokens = 10;
    request.outputTokens = 10;
    request.memoryTokens = 1'000'000;
    return request;
}

} // namespace pistachiolatch::test
