/// @file The cases that are played by scripts. Each returns Held, Broken or CouldNotRun.
#pragma once

#include "Kit.h"

namespace Review {

/// An engine crashes and starts again under its id with an earlier time of day, and later leaves in order.
int playDrain(const std::string &recordFile);

/// The operator takes the last client account away.
int playTenants(const std::string &recordFile);

/// Callers send bodies within the limit of the configuration and keep their connections, while the platform watches the memory of the entries.
int playUploads(const std::string &recordFile);

}
