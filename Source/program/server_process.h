#pragma once
#include "http/http.h"
#include "kernel/kernel.h"
#include "wire/wire.h"
#include <memory>
#include <optional>

namespace pistachiolatch {

/// Base class of the long-running processes, with clock, metrics, service registry, transport, control thread, traffic
/// threads and admin server. Derived classes add their own services to the registry and look up others by name.
/// Thread safety: used only by the thread that starts the process.
class server_process {
public:
    /// Names of the common services.
    static constexpr const char* wireService = "wire";
    static constexpr const char* loopService = "control_loop";
    static constexpr const char* trafficService = "traffic";
    static constexpr const char* adminService = "admin";

    virtual ~server_process() = default;
    server_process() = default;
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;

protected:
    /// Adds transport, control thread and traffic threads. Precondition: called before addAdmin() and addListener().
    void addCore(const char* program, const wire_settings& settings, unsigned trafficThreads);
    /// Adds the admin server.
    void addAdmin(const std::string& address, admin_hooks hooks);
    /// Adds a server with listen() and stopAccepting(), which starts after the traffic threads.
    template <typename Server>
    void addListener(const std::string& name, Server& server, const std::string& address, bool stopsWithRegistry)
    {
        service_hooks hooks { { trafficService }, [&server, address] { return server.listen(address); }, {} };
        if (stopsWithRegistry)
            hooks.stop = [&server] { server.stopAccepting(); };
        registry.add(name, server, std::move(hooks));
    }
    /// Posts a task to the control thread and waits briefly for its messages to be sent. ZeroMQ sends in the background,
    /// and the control process should learn of the shutdown before this process exits.
    void runFinalTask(control_loop::task finalTask);

    steady_clock_source clock;
    metrics counters;
    /// What all servers of the process hold for their callers.
    buffer_budget buffers;
    buffer_budget questionBuffers;
    service_registry registry;

private:
    std::optional<transport> m_wire;
    std::optional<control_loop> m_loop;
    std::optional<traffic_threads> m_threads;
    std::unique_ptr<admin_server> m_admin;
};

} // namespace pistachiolatch
