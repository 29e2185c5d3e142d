#pragma once

// Public header of the configuration module.
#include "modules/configuration/access_keys.h"
#include "modules/configuration/codec.h"
#include "modules/configuration/content_diff.h"
#include "modules/configuration/daemon_settings.h"
#include "modules/configuration/diagnostic.h"
#include "modules/configuration/head.h"
#include "modules/configuration/key_verifier.h"
#include "modules/configuration/publisher.h"
#include "modules/configuration/service_files.h"
#include "modules/configuration/snapshot.h"
