#pragma once
#include "kernel/result.h"
#include <any>
#include <functional>
#include <map>
#include <string>
#include <typeindex>
#include <vector>

namespace pistachiolatch {

/// Dependencies of a service by name, and its start and stop functions, each of which may be empty.
struct service_hooks {
    std::vector<std::string> dependencies;
    std::function<result<void>()> start;
    std::function<void()> stop;
};

/// Starts services in dependency order, stops them in reverse order, and looks them up by name and type.
/// Thread safety: used only by the thread that starts the process.
class service_registry {
public:
    /// Registers a service. Precondition: the name is not in use and startAll() has not been called.
    template <typename T>
    void add(const std::string& name, T& instance, service_hooks hooks)
    {
        m_services.emplace(name, entry { &instance, typeid(T), std::move(hooks) });
    }

    /// Returns the service with the given name. An unknown name or a wrong type aborts the process.
    template <typename T>
    T& find(const std::string& name) const
    {
        return *static_cast<T*>(findInstance(name, typeid(T)));
    }

    /// Starts all services in dependency order. If one fails, stops those already started.
    /// Errors: the error of the service that failed, an unknown dependency or a dependency cycle.
    result<void> startAll();

    /// Stops all started services in reverse order. Idempotent.
    void stopAll();

private:
    struct entry {
        void* instance;
        std::type_index type;
        service_hooks hooks;
    };

    void* findInstance(const std::string& name, std::type_index type) const;
    result<void> startService(const std::string& name, std::vector<std::string>& path);

    std::map<std::string, entry> m_services;
    std::vector<std::string> m_started;
};

} // namespace pistachiolatch
