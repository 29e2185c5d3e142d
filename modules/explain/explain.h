#pragma once

// Public header of the explain library: diagnoses from the logs of instances
// what happened to a request, a target or an organisation.
#include "modules/explain/cause_description.h"
#include "modules/explain/diagnosis.h"
#include "modules/explain/log_line.h"
#include "modules/explain/log_source.h"
