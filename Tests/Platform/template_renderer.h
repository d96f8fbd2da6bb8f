#pragma once
#include <boost/json.hpp>
#include <string>

namespace pistachiolatch::test {

/// Fills a settings template as the users' platform does: {{a.b}}, {{a.0}}, and sections {{#a}}..{{/a}} with {{.}} and
/// {{,}} inside. What it does not know fails the test that uses it.
std::string renderTemplate(const std::string& text, const boost::json::value& fields);

} // namespace pistachiolatch::test
