#pragma once

// Public header of the explain library: tells from the log lines of instances
// what happened to a request, a target or an organisation.
#include "modules/explain/cause_text.h"
#include "modules/explain/log_line.h"
#include "modules/explain/log_source.h"
#include "modules/explain/story.h"
