#pragma once
#include "kernel/kernel.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// How a process takes part in the exchange between the system's own processes.
struct wire_settings {
    std::string vm;
    std::string dataCentre;
    std::string listen;
    /// What peers connect to; differs from listen only behind an address translation.
    std::string advertise;
    /// The cluster's CURVE key pair in Z85: every member holds it, nobody else does.
    std::string publicKey;
    std::string secretKey;
    std::vector<std::string> controls;
};

/// Reads the [vm] and [wire] tables. Errors are collected in the reader.
wire_settings readWireSettings(settings_reader& reader);

} // namespace pistachiolatch
