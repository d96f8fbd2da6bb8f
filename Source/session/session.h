#pragma once
/// The session of an entry or a scheduler with the control leader.
/// This is the library's only public header.
#include "session/control_session.h"
