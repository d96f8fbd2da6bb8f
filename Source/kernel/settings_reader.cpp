#include "kernel/settings_reader.h"

#include "kernel/toml_parser.h"
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <fmt/format.h>

namespace pistachiolatch {

struct settings_reader::impl {
    std::string path;
    toml::table table;
    std::set<std::string> knownKeys;
    std::vector<std::string> problems;

    toml::node_view<toml::node> findNode(const std::string& key)
    {
        knownKeys.insert(key);
        return table.at_path(key);
    }

    void addProblem(const toml::node* node, const std::string& key, const std::string& problem)
    {
        auto line = node ? node->source().begin.line : 0;
        problems.push_back(line ? fmt::format("{}:{}: {}: {}", path, line, key, problem) : fmt::format("{}: {}: {}", path, key, problem));
    }

    void rejectUnknown(const toml::table& section, const std::string& prefix)
    {
        for (const auto& [name, node] : section) {
            auto key = prefix.empty() ? std::string(name.str()) : prefix + "." + std::string(name.str());
            if (knownKeys.count(key))
                continue;
            bool isParentOfKnown = false;
            for (const auto& known : knownKeys)
                isParentOfKnown = isParentOfKnown || known.rfind(key + ".", 0) == 0;
            if (const auto* inner = node.as_table(); inner && isParentOfKnown)
                rejectUnknown(*inner, key);
            else
                addProblem(&node, key, "unknown key; remove it or correct its spelling (docs/SETTINGS.md lists all keys)");
        }
    }
};

settings_reader::settings_reader()
    : m_impl(std::make_unique<impl>())
{
}
settings_reader::settings_reader(settings_reader&&) noexcept = default;
settings_reader& settings_reader::operator=(settings_reader&&) noexcept = default;
settings_reader::~settings_reader() = default;

result<settings_reader> settings_reader::load(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto table, parseTomlFile(path));
    settings_reader reader;
    reader.m_impl->path = path;
    reader.m_impl->table = std::move(table);
    return reader;
}

std::string settings_reader::text(const std::string& key)
{
    auto value = text(key, "");
    if (value.empty() && !m_impl->findNode(key))
        m_impl->addProblem(nullptr, key, "is missing; add it");
    return value;
}

std::string settings_reader::text(const std::string& key, const std::string& fallback)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return fallback;
    auto value = node.value_exact<std::string>();
    if (!value || value->empty()) {
        m_impl->addProblem(node.node(), key, "must be a string that is not empty");
        return fallback;
    }
    return *value;
}

std::int64_t settings_reader::integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return fallback;
    auto value = node.value_exact<std::int64_t>();
    if (!value) {
        m_impl->addProblem(node.node(), key, "must be an integer");
        return fallback;
    }
    if (*value < minimum || *value > maximum) {
        m_impl->addProblem(node.node(), key, fmt::format("is {}; it must be from {} to {}", *value, minimum, maximum));
        return fallback;
    }
    return *value;
}

std::chrono::milliseconds settings_reader::millis(const std::string& key, std::chrono::milliseconds fallback)
{
    constexpr std::int64_t oneDay = 24LL * 3600 * 1000;
    return std::chrono::milliseconds(integer(key, fallback.count(), 1, oneDay));
}

double settings_reader::number(const std::string& key, double fallback, double minimum, double maximum)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return fallback;
    auto value = node.value<double>();
    if (!value || *value < minimum || *value > maximum) {
        m_impl->addProblem(node.node(), key, fmt::format("must be a number from {} to {}", minimum, maximum));
        return fallback;
    }
    return *value;
}

bool settings_reader::flag(const std::string& key, bool fallback)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return fallback;
    auto value = node.value_exact<bool>();
    if (!value)
        m_impl->addProblem(node.node(), key, "must be true or false");
    return value.value_or(fallback);
}

std::vector<std::string> settings_reader::texts(const std::string& key)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return {};
    std::vector<std::string> values;
    const auto* list = node.as_array();
    if (!list) {
        m_impl->addProblem(node.node(), key, "must be a list of strings");
        return {};
    }
    for (const auto& item : *list) {
        auto value = item.value_exact<std::string>();
        if (value)
            values.push_back(*value);
        else
            m_impl->addProblem(&item, key, "must hold strings only");
    }
    return values;
}

std::vector<std::map<std::string, std::string>> settings_reader::tables(const std::string& key, const std::set<std::string>& fields)
{
    auto node = m_impl->findNode(key);
    if (!node)
        return {};
    std::vector<std::map<std::string, std::string>> rows;
    const auto* list = node.as_array();
    if (!list) {
        m_impl->addProblem(node.node(), key, fmt::format("must be written as [[{}]]", key));
        return {};
    }
    for (const auto& item : *list) {
        const auto* fieldTable = item.as_table();
        if (!fieldTable) {
            m_impl->addProblem(&item, key, fmt::format("must be written as [[{}]]", key));
            continue;
        }
        std::map<std::string, std::string> row;
        for (const auto& [name, value] : *fieldTable) {
            auto text = value.value_exact<std::string>();
            if (!fields.count(std::string(name.str())) || !text)
                m_impl->addProblem(&value, fmt::format("{}.{}", key, name.str()), "unknown key or not a string");
            else
                row[std::string(name.str())] = *text;
        }
        for (const auto& field : fields) {
            if (!row.count(field))
                m_impl->addProblem(&item, fmt::format("{}.{}", key, field), "is missing; add it");
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string settings_reader::address(const std::string& key)
{
    auto value = text(key);
    if (!value.empty() && !isAddress(value))
        m_impl->addProblem(m_impl->findNode(key).node(), key, fmt::format("is \"{}\"; write an IPv4 address and port such as 127.0.0.1:8080", value));
    return value;
}

std::string settings_reader::address(const std::string& key, const std::string& fallback)
{
    return m_impl->findNode(key) ? address(key) : fallback;
}

void settings_reader::reject(const std::string& key, const std::string& problem)
{
    m_impl->addProblem(m_impl->findNode(key).node(), key, problem);
}

result<void> settings_reader::finish()
{
    m_impl->rejectUnknown(m_impl->table, "");
    if (m_impl->problems.empty())
        return ok();
    return failure { fmt::format("{}", fmt::join(m_impl->problems, "\n")) };
}

bool isAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    // The parser of addresses reads up to the first NUL, and what follows would become part of headers.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    unsigned port = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    constexpr unsigned highestPort = 65535;
    return !error && parsed.ec == std::errc() && parsed.ptr == end && port <= highestPort;
}

} // namespace pistachiolatch
