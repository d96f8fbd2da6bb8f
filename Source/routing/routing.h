#pragma once
/// Which service a call goes to, and for which organisation it counts, by the configuration in force.
/// This is the library's one public header.
#include "routing/configuration.h"
#include "routing/configuration_check.h"
#include "routing/route_table.h"
