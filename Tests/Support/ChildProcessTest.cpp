#include "Support/child_process.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace pistachiolatch::test {

// A child that is stopped right after its start must not keep the sockets of its parent open.
TEST_CASE("A started child runs its own program and holds none of the parent's descriptors")
{
    auto folder = std::filesystem::temp_directory_path() / ("child-process-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    for (int i = 0; i < 50; ++i) {
        child_process child("/bin/sleep", { "30" }, (folder / "sleep").string());
        auto program = std::filesystem::read_symlink("/proc/" + std::to_string(child.pid()) + "/exe").filename();
        CHECK(program != std::filesystem::read_symlink("/proc/self/exe").filename());
    }
    std::filesystem::remove_all(folder);
}

} // namespace pistachiolatch::test
