#pragma once
/// The endpoint protocol and its HTTP/JSON client (docs/ENDPOINTS.md).
/// This is the library's one public header.
#include "endpoints/announcement_json.h"
#include "endpoints/endpoint_protocol.h"
#include "endpoints/http_json_endpoint.h"
#include "endpoints/request_tag.h"
