// Socket calls that take the place of the system's in a program of the tests. They cut it from some addresses, as a
// partition of the network would: the file that PARTITION_FILE names holds pairs of how they are cut and the prefix of the
// addresses; without it, nothing is. They also have it connect through proxies: CONNECT_VIA lists pairs of networks,
// as in "127.80.3.0>127.80.11.0", and connections to the first go to the same host of the second, whose number is added
// to that of the second's address.
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace {
enum class cut {
    None,
    /// New connections get no answer, and nothing moves on open ones.
    Hang,
    /// New connections are refused, and open ones are reset when they are used.
    Reset,
    /// New connections are refused; open ones live on.
    Refuse,
};

cut cutTo(const sockaddr* address)
{
    const auto* path = std::getenv("PARTITION_FILE");
    if (!path || address->sa_family != AF_INET)
        return cut::None;
    std::ifstream file(path);
    std::array<char, INET_ADDRSTRLEN> text {};
    ::inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text.data(), text.size());
    std::string mode;
    for (std::string prefix; file >> mode >> prefix;) {
        if (std::string(text.data()).rfind(prefix, 0) == 0)
            return mode == "hang" ? cut::Hang : mode == "reset" ? cut::Reset
                                                                : cut::Refuse;
    }
    return cut::None;
}

cut cutOfPeer(int descriptor)
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0)
        return cut::None;
    return cutTo(reinterpret_cast<const sockaddr*>(&peer));
}

template <typename Function>
Function original(const char* name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

/// The proxy through which an address is connected to, if there is one.
std::optional<sockaddr_in> proxyOf(const sockaddr* address)
{
    const auto* list = std::getenv("CONNECT_VIA");
    if (!list || address->sa_family != AF_INET)
        return std::nullopt;
    auto proxied = *reinterpret_cast<const sockaddr_in*>(address);
    constexpr in_addr_t hostMask = 0xff;
    auto parse = [](const std::string& text) {
        in_addr parsed {};
        ::inet_pton(AF_INET, text.c_str(), &parsed);
        return ntohl(parsed.s_addr);
    };
    auto number = ntohl(proxied.sin_addr.s_addr);
    std::istringstream pairs(list);
    for (std::string pair; std::getline(pairs, pair, ',');) {
        auto separator = pair.find('>');
        if ((number & ~hostMask) != parse(pair.substr(0, separator)))
            continue;
        proxied.sin_addr.s_addr = htonl(parse(pair.substr(separator + 1)) + (number & hostMask));
        return proxied;
    }
    return std::nullopt;
}

/// Binds a socket to the machine's own address, which CONNECT_FROM holds, so that its peer can tell the machines apart.
void bindToMachine(int descriptor)
{
    const auto* own = std::getenv("CONNECT_FROM");
    if (!own)
        return;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, own, &address.sin_addr);
    ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

/// The address of a listener that takes no more connections, so that the kernel drops whatever opens one.
sockaddr_in deadAddress()
{
    static const sockaddr_in address = [] {
        sockaddr_in dead {};
        dead.sin_family = AF_INET;
        dead.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* bytes = reinterpret_cast<sockaddr*>(&dead);
        socklen_t size = sizeof dead;
        int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        ::bind(listener, bytes, size);
        ::listen(listener, 0);
        ::getsockname(listener, bytes, &size);
        for (int i = 0; i < 4; ++i)
            original<int (*)(int, const sockaddr*, socklen_t)>("connect")(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), bytes, size);
        return dead;
    }();
    return address;
}
}

extern "C" int connect(int descriptor, const sockaddr* destination, socklen_t size)
{
    bindToMachine(descriptor);
    auto proxied = proxyOf(destination);
    const auto* address = proxied ? reinterpret_cast<const sockaddr*>(&*proxied) : destination;
    auto connectReally = original<int (*)(int, const sockaddr*, socklen_t)>("connect");
    switch (cutTo(address)) {
    case cut::None:
        return connectReally(descriptor, address, size);
    case cut::Hang: {
        auto dead = deadAddress();
        return connectReally(descriptor, reinterpret_cast<const sockaddr*>(&dead), sizeof dead);
    }
    case cut::Reset:
    case cut::Refuse:
        break;
    }
    errno = ECONNREFUSED;
    return -1;
}

extern "C" ssize_t recvmsg(int descriptor, msghdr* message, int flags)
{
    auto mode = cutOfPeer(descriptor);
    if (mode == cut::Hang || mode == cut::Reset) {
        errno = mode == cut::Hang ? EAGAIN : ECONNRESET;
        return -1;
    }
    return original<ssize_t (*)(int, msghdr*, int)>("recvmsg")(descriptor, message, flags);
}

extern "C" ssize_t recv(int descriptor, void* buffer, size_t size, int flags)
{
    auto mode = cutOfPeer(descriptor);
    if (mode == cut::Hang || mode == cut::Reset) {
        errno = mode == cut::Hang ? EAGAIN : ECONNRESET;
        return -1;
    }
    return original<ssize_t (*)(int, void*, size_t, int)>("recv")(descriptor, buffer, size, flags);
}

extern "C" ssize_t sendmsg(int descriptor, const msghdr* message, int flags)
{
    auto mode = cutOfPeer(descriptor);
    if (mode == cut::Reset) {
        errno = ECONNRESET;
        return -1;
    }
    if (mode != cut::Hang)
        return original<ssize_t (*)(int, const msghdr*, int)>("sendmsg")(descriptor, message, flags);
    // Taken by the kernel, but never acknowledged.
    ssize_t total = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i)
        total += static_cast<ssize_t>(message->msg_iov[i].iov_len);
    return total;
}

extern "C" ssize_t send(int descriptor, const void* buffer, size_t size, int flags)
{
    iovec part { const_cast<void*>(buffer), size };
    msghdr message {};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    return sendmsg(descriptor, &message, flags);
}
