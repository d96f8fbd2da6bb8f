#pragma once
#include "kernel/kernel.h"
#include "wire/generated/pistachiolatch.pb.h"
#include <string_view>

namespace pistachiolatch {

/// Limits each text in a report. A message with the reports of many endpoints stays far below the size limit of messages.
constexpr std::size_t maxReportTextBytes = 512;

/// Whether an endpoint may use this text in its reports. Empty text is allowed. Thread safety: any thread.
bool isReportText(std::string_view text);

/// Whether a text can be the id of an endpoint. Requests to the endpoint carry it in a header, whose value neither begins nor ends with
/// a space. Thread safety: any thread.
bool isEndpointId(std::string_view id);

/// Whether a text is an IPv4 address with a port to which one can connect, in the one spelling of which reports of the same address
/// are recognised. Thread safety: any thread.
bool isEndpointAddress(const std::string& text);

/// Checks a report that another process passed on, which may be of a version that accepted more. Errors name the first field that is
/// invalid and its value. Thread safety: any thread.
result<void> checkReport(const wire::endpoint_report& report);

} // namespace pistachiolatch
