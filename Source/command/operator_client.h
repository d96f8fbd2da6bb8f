#pragma once
#include "command/command_settings.h"
#include <string>

namespace pistachiolatch {

/// An answer of control to an operator.
struct operator_answer {
    unsigned status = 0;
    std::string body;
};

/// Calls control for an operator; finds the leader by asking each control VM in turn. Used on one thread.
class operator_client {
public:
    explicit operator_client(command_settings settings)
        : m_settings(std::move(settings))
    {
    }
    /// Makes one call. A submission may be made twice when an answer is lost; control accepts it once.
    /// Errors: no control VM that leads could be reached in time.
    result<operator_answer> call(const std::string& method, const std::string& target, const std::string& body) const;

private:
    command_settings m_settings;
};

} // namespace pistachiolatch
