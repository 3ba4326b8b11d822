/// @file The version of the product.
#pragma once

#include <string_view>

namespace Core {

inline constexpr std::string_view Version = "0.1";

}
