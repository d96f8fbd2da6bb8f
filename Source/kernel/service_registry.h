#pragma once
#include "kernel/result.h"
#include <any>
#include <functional>
#include <map>
#include <string>
#include <typeindex>
#include <vector>

namespace pistachiolatch {

/// What the kernel needs of a service: a start, a stop, and the names of the services it uses.
struct service_hooks {
    std::vector<std::string> uses;
    std::function<result<void>()> start;
    std::function<void()> stop;
};

/// The micro-kernel's registry: starts services after those they use, stops them in reverse,
/// and lets one service find another by name and interface.
/// Thread safety: everything is called from the thread that starts the process.
class service_registry {
public:
    /// Adds a service. Precondition: no service has that name and startAll() was not called.
    template <typename T>
    void add(const std::string& name, T& instance, service_hooks hooks)
    {
        m_services.emplace(name, entry { &instance, typeid(T), std::move(hooks) });
    }

    /// The service with that name. A wrong name or type is a broken invariant and ends the process.
    template <typename T>
    T& find(const std::string& name) const
    {
        return *static_cast<T*>(findRaw(name, typeid(T)));
    }

    /// Starts every service in dependency order. At a failure the started ones are stopped again.
    /// Errors: the message of the service that failed, an unknown dependency or a cycle.
    result<void> startAll();

    /// Stops what was started, in reverse order. Calling it again does nothing.
    void stopAll();

private:
    struct entry {
        void* instance;
        std::type_index type;
        service_hooks hooks;
    };

    void* findRaw(const std::string& name, std::type_index type) const;
    result<void> startOne(const std::string& name, std::vector<std::string>& path);

    std::map<std::string, entry> m_services;
    std::vector<std::string> m_started;
};

} // namespace pistachiolatch
