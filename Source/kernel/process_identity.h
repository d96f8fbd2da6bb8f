#pragma once
#include <cstdint>
#include <string>

namespace pistachiolatch {

/// Who a process is. Two runs on one VM share the name and differ in the incarnation, so that
/// a late message of the earlier run can be told from one of the later run.
struct process_identity {
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
};

/// A fresh incarnation; never zero. Thread safety: any thread.
std::uint64_t generateIncarnation();

} // namespace pistachiolatch
