#include "membership/endpoint_report_check.h"

namespace pistachiolatch {

namespace {
    constexpr std::size_t maxQuotedBytes = 64;

    failure makeFailure(std::string_view field, std::string_view value)
    {
        return failure { fmt::format("{} \"{}\" is invalid in the report of an endpoint", field, toPlainText(value, maxQuotedBytes)) };
    }
}

bool isReportText(std::string_view text)
{
    return text.size() <= maxReportTextBytes && isPlainText(text);
}

bool isEndpointId(std::string_view id)
{
    return !id.empty() && isReportText(id) && id.front() != ' ' && id.back() != ' ';
}

bool isEndpointAddress(const std::string& text)
{
    // No port begins with 0: it is none to connect to, or spells another one differently.
    return isAddress(text) && text[text.rfind(':') + 1] != '0';
}

result<void> checkReport(const wire::endpoint_report& report)
{
    if (!isEndpointId(report.id()))
        return makeFailure("id", report.id());
    if (!isReportText(report.service()))
        return makeFailure("service", report.service());
    if (!isReportText(report.data_centre()))
        return makeFailure("data centre", report.data_centre());
    if (!isReportText(report.software_version()))
        return makeFailure("software version", report.software_version());
    // The report of an endpoint that is gone may name no address.
    bool mayLackAddress = report.state() == wire::ENDPOINT_GONE && report.address().empty();
    if (!mayLackAddress && !isEndpointAddress(report.address()))
        return makeFailure("address", report.address());
    return ok();
}

} // namespace pistachiolatch
