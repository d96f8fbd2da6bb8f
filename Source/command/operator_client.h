#pragma once
#include "command/command_settings.h"
#include <string>

namespace pistachiolatch {

/// Control's response to an operator's request.
struct operator_response {
    unsigned status = 0;
    std::string body;
};

/// Sends an operator's requests to the control leader, which it finds by trying each control VM in turn.
/// Not thread-safe.
class operator_client {
public:
    explicit operator_client(command_settings settings)
        : m_settings(std::move(settings))
    {
    }
    /// Sends a request, and repeats it until a leader responds. Control applies a repeated submission once.
    /// Errors: no leader responded before the timeout.
    result<operator_response> sendRequest(const std::string& method, const std::string& target, const std::string& body) const;

private:
    command_settings m_settings;
};

} // namespace pistachiolatch
