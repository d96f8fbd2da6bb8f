// Stand-in for an endpoint (a runner) of a service without engines. It registers itself, answers its health path and /-/report,
// and runs requests: those of a path that contains "/stream" get a stream of events, all others a short answer.
#include "harness.h"
#include <atomic>

using namespace review;

namespace {
struct options {
    std::string id;
    std::string address;
    std::string service;
    std::vector<std::string> controls;
    std::string log;
    /// The stand-in crashes in the middle of this event of its streams; 0 for never.
    int crashAtEvent = 0;
    int events = 30;
    int pauseMs = 50;
    int workMs = 15;
    std::int64_t born = nowMs();
};
options own;
std::atomic<int> running { 0 };
std::atomic<std::uint64_t> sequence { 0 };

std::string statusHeaders(const std::string& requestId)
{
    std::string headers = "Pistachiolatch-Instance-Load: " + std::to_string(running.load()) + ",0,32\r\n";
    if (!requestId.empty())
        headers += "Pistachiolatch-Request-Id: " + requestId + "\r\nPistachiolatch-Response-Seal: seal." + own.id + "." + requestId + "\r\n";
    return headers;
}

std::string answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The same at every endpoint, so that a stream may go on at another one.
std::string makeEvent(const std::string& path, int number)
{
    std::string text = "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + path + " ";
    text.append(240, static_cast<char>('a' + number % 26));
    return text + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

bool runStream(connection& caller, const std::string& path, const std::string& requestId, int after, const record_file& log)
{
    auto until = nowMs() + 14000;
    if (!caller.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + statusHeaders(requestId) + "\r\n", until))
        return false;
    for (int number = after + 1; number <= own.events; ++number) {
        auto event = makeEvent(path, number);
        if (number == own.crashAtEvent) {
            caller.send(chunk(event.substr(0, event.size() / 2)), until);
            log.line(own.id + " crashes in the middle of event " + std::to_string(number) + " of " + requestId);
            sleepMs(100);
            ::kill(::getpid(), SIGKILL);
        }
        if (!caller.send(chunk(event), until))
            return false;
        sleepMs(own.pauseMs);
    }
    return caller.send("0\r\n\r\n", until);
}

void serve(int descriptor)
{
    record_file log(own.log);
    connection caller(descriptor);
    while (true) {
        auto until = nowMs() + 20000;
        auto line = caller.readLine(until);
        std::map<std::string, std::string> headers;
        if (!line || !caller.readHeaders(headers, until))
            return;
        auto method = line->substr(0, line->find(' '));
        auto path = line->substr(method.size() + 1);
        path = path.substr(0, path.find(' '));
        std::string body;
        if (headers.count("content-length"))
            body = caller.readBytes(std::stoul(headers["content-length"]), until).value_or("");
        if (path == "/healthz") {
            caller.send(answer(200, statusHeaders("") + "Pistachiolatch-Instance-Id: " + own.id + "\r\n", ""), until);
            continue;
        }
        if (path == "/-/report") {
            auto report = "{\"models\":[],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":" + std::to_string(running.load()) + ",\"kvUsed\":0,\"kvTotal\":0,\"kvHandles\":0,\"born\":" + std::to_string(own.born) + "}";
            caller.send(answer(200, "Content-Type: application/json\r\n", report), until);
            continue;
        }
        auto requestId = headers["pistachiolatch-request-id"];
        if (headers.count("pistachiolatch-expect-instance") && headers["pistachiolatch-expect-instance"] != own.id) {
            caller.send(answer(421, "Pistachiolatch-Not-Executed: 1\r\nPistachiolatch-Request-Id: " + requestId + "\r\n", ""), until);
            continue;
        }
        log.line(own.id + " (" + own.service + ") runs " + requestId + " " + method + " " + path + " after event \"" + headers["last-event-id"] + "\"");
        ++running;
        bool isSent = true;
        if (path.find("/stream") != std::string::npos) {
            isSent = runStream(caller, path, requestId, std::atoi(headers["last-event-id"].c_str()), log);
        } else {
            sleepMs(own.workMs);
            isSent = caller.send(answer(200, statusHeaders(requestId), "service=" + own.service + " runner=" + own.id + " request=" + requestId), until);
        }
        --running;
        if (!isSent)
            return;
    }
}

void register_()
{
    for (std::size_t next = 0;; sleepMs(1200)) {
        auto body = "{\"service\":\"" + own.service + "\",\"address\":\"" + own.address + "\",\"zone\":\"nottingham\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldRemainingMs\":0,\"models\":[],\"sequence\":" + std::to_string(++sequence) + ",\"born\":" + std::to_string(own.born) + "}";
        for (std::size_t i = 0; i < own.controls.size(); ++i) {
            auto reply = call(own.controls[next % own.controls.size()], jsonRequest("PUT", "/-/instances/" + own.id, body), 1000);
            if (reply.status >= 200 && reply.status < 300)
                break;
            ++next;
        }
    }
}
}

int main(int argc, char** argv)
{
    for (int i = 1; i + 1 < argc; i += 2) {
        std::string name = argv[i];
        std::string value = argv[i + 1];
        if (name == "--id")
            own.id = value;
        else if (name == "--address")
            own.address = value;
        else if (name == "--service")
            own.service = value;
        else if (name == "--log")
            own.log = value;
        else if (name == "--crash-at-event")
            own.crashAtEvent = std::stoi(value);
        else if (name == "--work-ms")
            own.workMs = std::stoi(value);
        else if (name == "--controls") {
            std::istringstream list(value);
            for (std::string address; std::getline(list, address, ',');)
                own.controls.push_back(address);
        }
    }
    auto colon = own.address.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(own.address.substr(colon + 1))));
    ::inet_pton(AF_INET, own.address.substr(0, colon).c_str(), &address.sin_addr);
    int acceptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(acceptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(acceptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(acceptor, 128) != 0)
        return cannotRun;
    std::thread(register_).detach();
    while (true) {
        int descriptor = ::accept4(acceptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor < 0)
            continue;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread(serve, descriptor).detach();
    }
}
