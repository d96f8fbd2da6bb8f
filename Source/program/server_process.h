#pragma once
#include "http/http.h"
#include "kernel/kernel.h"
#include "wire/wire.h"
#include <memory>
#include <optional>

namespace pistachiolatch {

/// What every long-running process is built of: clock, metrics, the registry of its services, its transport, the
/// control thread, traffic threads and the admin port. A program derives from it, adds its own services, and finds
/// those it uses by name.
/// Thread safety: the thread that starts the process.
class server_process {
public:
    /// The names of the services that each process has.
    static constexpr const char* wireService = "wire";
    static constexpr const char* loopService = "control_loop";
    static constexpr const char* trafficService = "traffic";
    static constexpr const char* adminService = "admin";

    virtual ~server_process() = default;
    server_process() = default;
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;

protected:
    /// Adds transport, control thread and traffic threads. Precondition: called first.
    void addCore(const char* program, const wire_settings& settings, unsigned trafficThreads);
    /// Adds the admin port.
    void addAdmin(const std::string& address, admin_hooks hooks);
    /// Adds an HTTP server (or what behaves like one) that listens once traffic flows.
    template <typename Server>
    void addListener(const std::string& name, Server& server, const std::string& address, bool stopsWithRegistry)
    {
        service_hooks hooks { { trafficService }, [&server, address] { return server.listen(address); }, {} };
        if (stopsWithRegistry)
            hooks.stop = [&server] { server.stopAccepting(); };
        registry.add(name, server, std::move(hooks));
    }
    /// Posts a last task to the control thread and leaves its messages a moment to go out: ZeroMQ sends in the
    /// background, and what tells control that this process stops should arrive before it has stopped.
    void runFinalTask(control_loop::task lastTask);

    steady_clock_source clock;
    metrics counters;
    service_registry registry;

private:
    std::optional<transport> m_wire;
    std::optional<control_loop> m_loop;
    std::optional<traffic_threads> m_threads;
    std::unique_ptr<admin_server> m_admin;
};

} // namespace pistachiolatch
