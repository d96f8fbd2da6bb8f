#pragma once
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace pistachiolatch {

/// Why an operation did not succeed, in words for an operator.
struct failure {
    std::string message;
};

/// An outcome as a value. Reading the value of a failed result is a broken invariant and ends the process.
template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The value of a result<void> that succeeded.
inline auto ok()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace pistachiolatch
