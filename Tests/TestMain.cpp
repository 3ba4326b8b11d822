/// @file The one main function that every Catch2 test program links.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
