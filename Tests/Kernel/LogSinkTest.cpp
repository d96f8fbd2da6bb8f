#include "kernel/kernel.h"
#include <array>
#include <catch2/catch.hpp>
#include <poll.h>
#include <unistd.h>

using namespace pistachiolatch;

// Guards against an entry that stops answering because a log write blocks: the log collector stops reading, and the pipe
// fills. The sink must write without blocking, buffer a bounded amount and count the lines it drops.
TEST_CASE("A log reader that stops reading does not stop the process")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    log_sink sink(ends[1]);
    std::string line(999, 'x');
    line += '\n';
    for (int i = 0; i < 2000; ++i)
        sink.write(line);
    CHECK(sink.dropped() > 0);

    std::string read;
    std::array<char, 65536> block {};
    while (true) {
        sink.flush();
        pollfd item { ends[0], POLLIN, 0 };
        if (::poll(&item, 1, 0) <= 0)
            break;
        auto got = ::read(ends[0], block.data(), block.size());
        REQUIRE(got > 0);
        read.append(block.data(), static_cast<std::size_t>(got));
    }
    CHECK(read.size() % line.size() == 0);
    auto before = read.size();
    sink.write("event=after\n");
    auto got = ::read(ends[0], block.data(), block.size());
    REQUIRE(got > 0);
    read.append(block.data(), static_cast<std::size_t>(got));
    CHECK(read.substr(before) == "event=log_dropped lines=" + std::to_string(sink.dropped()) + "\nevent=after\n");
    ::close(ends[0]);
    ::close(ends[1]);
}
