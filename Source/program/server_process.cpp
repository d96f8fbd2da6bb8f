#include "program/server_process.h"

#include <thread>

namespace pistachiolatch {

void server_process::addCore(const char* program, const wire_settings& settings, unsigned trafficThreads)
{
    setLogProcess(program, settings.vm);
    limitRetainedMemory();
    questionBuffers.setLimit(questionBufferBytes);
    buffers.setMemory(completeLimits({ settings.memoryMb, 0 }).memoryMb);
    m_wire.emplace(settings, generateIncarnation(), counters);
    registry.add(wireService, *m_wire, { {}, [this] { return m_wire->open(); }, {} });
    m_loop.emplace(registry.find<transport>(wireService), clock);
    auto startLoop = [this] {
        m_loop->start();
        return ok();
    };
    registry.add(loopService, *m_loop, { { wireService }, startLoop, [this] { m_loop->stop(); } });
    m_threads.emplace(trafficThreads);
    auto startThreads = [this] {
        m_threads->start();
        return ok();
    };
    registry.add(trafficService, *m_threads, { { loopService }, startThreads, [this] { m_threads->stop(); } });
}

void server_process::addAdmin(const std::string& address, admin_hooks hooks)
{
    m_admin = std::make_unique<admin_server>(registry.find<traffic_threads>(trafficService), counters, std::move(hooks), &questionBuffers);
    addListener(adminService, *m_admin, address, true);
}

void server_process::runFinalTask(control_loop::task finalTask)
{
    constexpr milliseconds flushTime { 100 };
    registry.find<control_loop>(loopService).post(std::move(finalTask));
    std::this_thread::sleep_for(flushTime);
}

} // namespace pistachiolatch
