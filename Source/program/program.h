#pragma once
/// Common code of the long-running programs: command line, settings check, signals, exit codes.
/// This is the library's only public header.
#include "program/program_main.h"
#include "program/server_process.h"
