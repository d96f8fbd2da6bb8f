#include "wire/wire_settings.h"

#include <set>

namespace pistachiolatch {

wire_settings readWireSettings(settings_reader& reader)
{
    wire_settings settings;
    settings.vm = reader.text("vm.name");
    settings.dataCentre = reader.text("vm.data_centre");
    constexpr std::int64_t maxMemoryMb = 1024 * 1024;
    settings.memoryMb = static_cast<std::size_t>(reader.integer("vm.memory_mb", 0, 0, maxMemoryMb));
    settings.listen = reader.address("wire.listen");
    settings.advertise = reader.address("wire.advertise", settings.listen);
    settings.publicKey = reader.text("wire.public_key");
    settings.secretKey = reader.text("wire.secret_key");
    settings.controls = reader.texts("wire.controls");
    constexpr std::size_t z85KeyLength = 40;
    if (!settings.publicKey.empty() && settings.publicKey.size() != z85KeyLength)
        reader.reject("wire.public_key", "must be 40 characters; make a pair with pistachiolatch wire-keys");
    if (!settings.secretKey.empty() && settings.secretKey.size() != z85KeyLength)
        reader.reject("wire.secret_key", "must be 40 characters; make a pair with pistachiolatch wire-keys");
    if (settings.controls.empty())
        reader.reject("wire.controls", "must list the wire address of each control VM");
    std::set<std::string> seen;
    for (const auto& address : settings.controls) {
        if (!isAddress(address) || !seen.insert(address).second)
            reader.reject("wire.controls", fmt::format("contains \"{}\", which is not an address or is a duplicate", address));
    }
    return settings;
}

} // namespace pistachiolatch
