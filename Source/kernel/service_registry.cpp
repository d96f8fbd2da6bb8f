#include "kernel/service_registry.h"

#include "kernel/log_event.h"
#include <algorithm>
#include <cstdlib>

namespace pistachiolatch {

void* service_registry::findInstance(const std::string& name, std::type_index type) const
{
    auto found = m_services.find(name);
    if (found == m_services.end() || found->second.type != type) {
        logEvent("service_lookup_failed", { { "service", name } });
        std::abort();
    }
    return found->second.instance;
}

result<void> service_registry::startAll()
{
    for (const auto& [name, unused] : m_services) {
        std::vector<std::string> path;
        auto started = startService(name, path);
        if (!started) {
            stopAll();
            return started;
        }
    }
    return ok();
}

result<void> service_registry::startService(const std::string& name, std::vector<std::string>& path)
{
    if (std::find(m_started.begin(), m_started.end(), name) != m_started.end())
        return ok();
    if (std::find(path.begin(), path.end(), name) != path.end())
        return failure { fmt::format("dependency cycle at service {}", name) };
    auto found = m_services.find(name);
    if (found == m_services.end())
        return failure { fmt::format("service {} is a dependency but is not registered", name) };

    path.push_back(name);
    for (const auto& dependency : found->second.hooks.dependencies) {
        BOOST_OUTCOME_TRYV(startService(dependency, path));
    }
    path.pop_back();

    if (found->second.hooks.start) {
        BOOST_OUTCOME_TRYV(found->second.hooks.start());
    }
    m_started.push_back(name);
    return ok();
}

void service_registry::stopAll()
{
    while (!m_started.empty()) {
        auto name = m_started.back();
        m_started.pop_back();
        const auto& hooks = m_services.at(name).hooks;
        if (hooks.stop)
            hooks.stop();
    }
}

} // namespace pistachiolatch
