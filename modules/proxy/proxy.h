#pragma once

// Public header of the proxy library: one instance of the fleet on one thread.
#include "modules/proxy/proxy_instance.h"
#include "modules/proxy/proxy_settings.h"
