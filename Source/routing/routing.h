#pragma once
/// Maps calls to services and organisations by the current configuration.
/// This is the library's only public header.
#include "routing/configuration.h"
#include "routing/configuration_check.h"
#include "routing/route_table.h"
