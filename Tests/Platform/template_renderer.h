#pragma once
#include <boost/json.hpp>
#include <string>

namespace pistachiolatch::test {

/// Renders a settings template as the users' platform does: {{a.b}}, {{a.0}}, and sections {{#a}}..{{/a}} that may contain
/// {{.}} and {{,}}. Unknown fields render as empty text. Throws if a section has no end.
std::string renderTemplate(const std::string& text, const boost::json::value& fields);

} // namespace pistachiolatch::test
