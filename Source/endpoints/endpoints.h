#pragma once
/// What the system asks of endpoints, and the HTTP/JSON form of it (docs/ENDPOINTS.md).
/// This is the library's one public header.
#include "endpoints/announcement_json.h"
#include "endpoints/endpoint_protocol.h"
#include "endpoints/http_json_endpoint.h"
#include "endpoints/request_tag.h"
