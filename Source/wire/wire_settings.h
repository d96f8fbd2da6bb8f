#pragma once
#include "kernel/kernel.h"
#include <string>
#include <vector>

namespace pistachiolatch {

/// Settings for messaging with the other processes of the cluster.
struct wire_settings {
    std::string vm;
    std::string dataCentre;
    /// The memory that the process may use, in MB; 0 stands for the VM's.
    std::size_t memoryMb = 0;
    std::string listen;
    /// Address that peers connect to; differs from listen only behind NAT.
    std::string advertise;
    /// CURVE key pair in Z85, shared by all members of the cluster.
    std::string publicKey;
    std::string secretKey;
    /// Wire addresses of the control processes.
    std::vector<std::string> controls;
};

/// Reads the [vm] and [wire] tables. Errors are reported by the reader.
wire_settings readWireSettings(settings_reader& reader);

} // namespace pistachiolatch
