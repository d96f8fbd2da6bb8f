#pragma once
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pistachiolatch::test {

/// What happens to the bytes of one direction of one link.
struct link_rule {
    /// Swallow every byte and keep the connection: a silent cut.
    bool cut = false;
    /// Hold every byte back until the rule is lifted: a frozen link.
    bool frozen = false;
    std::chrono::milliseconds delay { 0 };
    /// Drop the connection after that many further bytes; 0 means never.
    std::size_t closeAfterBytes = 0;
    /// What the link carries, shared by all connections to one listening IP, each way; 0 means without bound.
    std::size_t bytesPerSecond = 0;
};

/// A TCP proxy that a test puts before processes. A rule goes by the IP of who connected and the address connected
/// to, so that one direction between two VMs can be cut without the other.
class fault_proxy {
public:
    fault_proxy();
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Listens on one address and passes everything on to another.
    void forward(const std::string& listen, const std::string& target);
    /// Sets the rule for connections from one IP ("" for any) to one listening IP, for bytes towards the target.
    void setRule(const std::string& fromIp, const std::string& listenIp, link_rule rule);
    /// Cuts everything between one IP and all others, both ways, and breaks nothing.
    void isolate(const std::string& ip, bool cut);
    /// Ends all connections through one listening IP.
    void closeConnections(const std::string& listenIp);

private:
    struct tunnel;
    link_rule ruleFor(const std::string& fromIp, const std::string& listenIp) const;
    boost::asio::awaitable<void> acceptAll(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, std::string target);
    std::chrono::steady_clock::time_point carriedAt(const tunnel& one, bool toTarget, std::size_t bytes, std::size_t bytesPerSecond);
    boost::asio::awaitable<void> pump(std::shared_ptr<tunnel> one, bool toTarget);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, link_rule> m_rules;
    std::map<std::string, bool> m_isolated;
    std::vector<std::weak_ptr<tunnel>> m_tunnels;
    /// When a throttled link has carried what it was given, by listening IP and direction.
    std::map<std::pair<std::string, bool>, std::chrono::steady_clock::time_point> m_busyUntil;
};

} // namespace pistachiolatch::test
