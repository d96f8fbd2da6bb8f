#include "forwarding/call_admission.h"

namespace pistachiolatch {

call_admission admitCall(const route_table& table, const caller_request& head, const request_metadata& metadata)
{
    auto toView = [](boost::beast::string_view text) { return std::string_view(text.data(), text.size()); };
    call_admission admission;
    admission.route = table.find(toView(head[boost::beast::http::field::host]), toView(head.target()));
    if (!admission.route) {
        admission.refusal = reason::NotFound;
        return admission;
    }
    if (!table.requiresKeys() || admission.route->isPublic)
        return admission;
    if (metadata.key.empty()) {
        admission.refusal = reason::MissingKey;
        return admission;
    }
    admission.organisation = table.findOrganisation(metadata.key);
    if (!admission.organisation)
        admission.refusal = reason::UnknownKey;
    return admission;
}

} // namespace pistachiolatch
