#pragma once
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace pistachiolatch {

/// Error with a message for the operator.
struct failure {
    std::string message;
};

/// Value or error of an operation. Accessing the value of a failed result terminates the process.
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns a successful result<void>.
inline auto ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace pistachiolatch
