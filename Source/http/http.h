#pragma once
/// HTTP/1.1 client and server based on Boost.Beast.
/// This is the library's only public header.
#include "http/admin_server.h"
#include "http/buffer_budget.h"
#include "http/connection_capacity.h"
#include "http/event_scanner.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "http/http_server.h"
#include "http/message_head.h"
#include "http/pending_reply.h"
#include "http/percent_encoding.h"
#include "http/request_reader.h"
#include "http/response_body.h"
#include "http/response_reader.h"
#include "http/sse_parser.h"
#include "http/traffic_threads.h"
#include "http/transfer_coding.h"
