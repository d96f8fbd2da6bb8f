#include "records/canonical_json.h"

#include <algorithm>
#include <boost/json.hpp>

namespace pistachiolatch {

namespace {
    boost::json::value sortKeys(const boost::json::value& value)
    {
        if (value.is_array()) {
            boost::json::array items;
            for (const auto& item : value.get_array())
                items.push_back(sortKeys(item));
            return items;
        }
        if (!value.is_object())
            return value;
        std::vector<std::string> keys;
        for (const auto& member : value.get_object())
            keys.emplace_back(member.key());
        std::sort(keys.begin(), keys.end());
        boost::json::object ordered;
        for (const auto& key : keys)
            ordered[key] = sortKeys(value.get_object().at(key));
        return ordered;
    }
}

result<std::string> canonicalJson(const std::string& text)
{
    boost::json::error_code error;
    auto value = boost::json::parse(text, error);
    if (error)
        return failure { fmt::format("not JSON: {}", error.message()) };
    if (!value.is_object())
        return failure { "not a JSON object" };
    return boost::json::serialize(sortKeys(value));
}

} // namespace pistachiolatch
