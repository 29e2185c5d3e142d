#pragma once

// Public header of the configuration module.
#include "modules/configuration/snapshot.h"
