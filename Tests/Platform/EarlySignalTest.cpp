// Guards against signals that end a process because they come before it has read its settings.
#include "Platform/platform_fleet.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace pistachiolatch;
using namespace pistachiolatch::test;

namespace {
/// Waits until a reader has opened the pipe, and writes the text to it. Returns whether there was a reader.
bool writeToReader(const std::string& pipe, const std::string& text)
{
    int file = -1;
    bool opened = eventually([&] { return (file = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }, std::chrono::seconds(10));
    if (!opened)
        return false;
    bool written = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    ::close(file);
    return written;
}
}

TEST_CASE("A process that is told to reload and to stop while it reads its settings starts, reloads and stops", "[promise]")
{
    platform_fleet fleet(1, 1);
    fleet.start();
    REQUIRE(eventually([&] { return readFile(fleet.folder() + "/entry-1.out").find("event=started") != std::string::npos; }));
    fleet.entry(1).kill();
    auto settings = readFile(fleet.folder() + "/entry-1.toml");
    auto pipe = fleet.folder() + "/settings.pipe";
    REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    auto output = fleet.folder() + "/early";
    child_process process(PISTACHIOLATCH_BUILD_FOLDER "/pistachiolatch-platform-entry", { "--settings", pipe }, output);
    int file = -1;
    // The process is reading its settings once the pipe has a reader.
    REQUIRE(eventually([&] { return (file = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }));
    process.signal(SIGHUP);
    process.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(100));
    REQUIRE(process.isRunning());
    CHECK(::write(file, settings.data(), settings.size()) == static_cast<ssize_t>(settings.size()));
    ::close(file);
    REQUIRE(eventually([&] { return readFile(output + ".out").find("event=reloading") != std::string::npos; }));
    CHECK(writeToReader(pipe, settings));
    auto status = process.wait();
    auto log = readFile(output + ".out") + readFile(output + ".log");
    INFO(log);
    CHECK(status == 0);
    CHECK(log.find("event=reloaded") != std::string::npos);
    CHECK(log.find("event=stopped") != std::string::npos);
}
