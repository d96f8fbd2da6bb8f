#pragma once
/// What the long-running programs share: options, settings check, signals, exit codes.
/// This is the library's one public header.
#include "program/program_main.h"
#include "program/server_process.h"
