/// @file The cases that are played by scripts. Each returns Held, Broken or CouldNotRun.
#pragma once

#include "Kit.h"

namespace Review {

/// The operator takes the last client account away.
int playTenants(const std::string &recordFile);

/// Callers send bodies within the limit of the configuration and keep their connections, while the platform watches the memory of the entries.
int playUploads(const std::string &recordFile);

}
