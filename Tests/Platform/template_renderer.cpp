#include "Platform/template_renderer.h"

#include <stdexcept>

namespace pistachiolatch::test {

namespace {
    namespace json = boost::json;

    const json::value* find(const json::value& fields, const std::string& path)
    {
        const auto* value = &fields;
        for (std::size_t begin = 0; begin <= path.size();) {
            auto end = std::min(path.find('.', begin), path.size());
            auto name = path.substr(begin, end - begin);
            if (const auto* object = value->if_object())
                value = object->if_contains(name);
            else if (const auto* list = value->if_array())
                value = std::stoul(name) < list->size() ? &(*list)[std::stoul(name)] : nullptr;
            else
                value = nullptr;
            if (!value || value->is_null())
                return nullptr;
            begin = end + 1;
        }
        return value;
    }

    std::string toText(const json::value* value)
    {
        if (!value)
            return {};
        if (value->is_string())
            return std::string(value->as_string());
        return json::serialize(*value);
    }

    std::string render(const std::string& text, const json::value& fields, const json::value* current, bool isLast);

    std::string renderSection(const std::string& body, const json::value& fields, const json::value* value)
    {
        if (!value || (value->is_bool() && !value->as_bool()))
            return {};
        if (!value->is_array())
            return render(body, fields, value, true);
        std::string out;
        const auto& list = value->as_array();
        for (std::size_t i = 0; i < list.size(); ++i)
            out += render(body, fields, &list[i], i + 1 == list.size());
        return out;
    }

    std::string render(const std::string& text, const json::value& fields, const json::value* current, bool isLast)
    {
        std::string out;
        std::size_t position = 0;
        while (true) {
            auto open = text.find("{{", position);
            if (open == std::string::npos)
                return out + text.substr(position);
            out += text.substr(position, open - position);
            auto close = text.find("}}", open);
            auto name = text.substr(open + 2, close - open - 2);
            position = close + 2;
            if (name == ".") {
                out += toText(current);
            } else if (name == ",") {
                out += isLast ? "" : ",";
            } else if (name[0] == '#') {
                auto endTag = "{{/" + name.substr(1) + "}}";
                auto sectionEnd = text.find(endTag, position);
                if (sectionEnd == std::string::npos)
                    throw std::invalid_argument("section without end: " + name);
                out += renderSection(text.substr(position, sectionEnd - position), fields, find(fields, name.substr(1)));
                position = sectionEnd + endTag.size();
            } else {
                out += toText(find(fields, name));
            }
        }
    }
}

std::string renderTemplate(const std::string& text, const boost::json::value& fields)
{
    return render(text, fields, nullptr, true);
}

} // namespace pistachiolatch::test
