// Guards against connections that are given up though the endpoint's host is there, and against calls that wait for a host that has
// vanished.
#include "forwarding/acknowledgement_watch.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachiolatch;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr int checksOfMaxSilence = static_cast<int>(acknowledgement_watch::maxSilence / acknowledgement_watch::checkInterval);
}

TEST_CASE("A host that acknowledges nothing of what was sent has vanished")
{
    acknowledgement_watch watch;
    for (int i = 0; i < checksOfMaxSilence; ++i)
        CHECK_FALSE(watch.isLost({ true, acknowledgement_watch::checkInterval * i }));
    CHECK(watch.isLost({ true, acknowledgement_watch::maxSilence }));
}

TEST_CASE("A connection that was idle before data was sent has not lost its host")
{
    acknowledgement_watch watch;
    for (int i = 0; i < checksOfMaxSilence; ++i)
        CHECK_FALSE(watch.isLost({ false, std::chrono::seconds(10) }));
    for (int i = 0; i < checksOfMaxSilence; ++i)
        CHECK_FALSE(watch.isLost({ true, std::chrono::seconds(10) }));
    CHECK(watch.isLost({ true, std::chrono::seconds(11) }));
}

TEST_CASE("A host that acknowledges some of what is sent is there")
{
    acknowledgement_watch watch;
    for (int i = 0; i < checksOfMaxSilence * 3; ++i)
        CHECK_FALSE(watch.isLost({ true, acknowledgement_watch::maxSilence - milliseconds(1) }));
}

TEST_CASE("A host whose process reads nothing is there")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(context);
    sender.connect(acceptor.local_endpoint());
    tcp::socket receiver = acceptor.accept();
    sender.non_blocking(true);
    std::string part(64UL * 1024, 'x');
    boost::system::error_code error;
    while (!error)
        sender.write_some(asio::buffer(part), error);
    REQUIRE(error == asio::error::would_block);
    acknowledgement_watch watch;
    for (int i = 0; i < checksOfMaxSilence * 2; ++i) {
        std::this_thread::sleep_for(acknowledgement_watch::checkInterval);
        CHECK_FALSE(watch.isLost(sender));
    }
}
