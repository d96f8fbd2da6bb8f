// Calls that take the place of the system's in a program of the tests and make its disk slow: each sync takes as many more
// milliseconds as the file that SYNC_DELAY_FILE names holds; without it, none.
#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace {
void waitForDisk()
{
    const auto* path = std::getenv("SYNC_DELAY_FILE");
    if (!path)
        return;
    int delayMs = 0;
    std::ifstream(path) >> delayMs;
    std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
}

int syncReally(const char* name, int descriptor)
{
    return reinterpret_cast<int (*)(int)>(::dlsym(RTLD_NEXT, name))(descriptor);
}
}

extern "C" int fsync(int descriptor)
{
    waitForDisk();
    return syncReally("fsync", descriptor);
}

extern "C" int fdatasync(int descriptor)
{
    waitForDisk();
    return syncReally("fdatasync", descriptor);
}
