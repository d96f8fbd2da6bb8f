#include "command/command_settings.h"

namespace pistachiolatch {

result<command_settings> readCommandSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto reader, settings_reader::load(path));
    command_settings settings;
    settings.controlAddresses = reader.texts("controls");
    settings.token = reader.text("token");
    if (settings.controlAddresses.empty())
        reader.reject("controls", "must list the operator address of each control VM");
    for (const auto& address : settings.controlAddresses) {
        if (!isAddress(address))
            reader.reject("controls", fmt::format("holds \"{}\", which is not an IPv4 address and port", address));
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return settings;
}

} // namespace pistachiolatch
