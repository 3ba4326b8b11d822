/// @file Size of a YAML document with its aliases expanded.
#pragma once

#include <cstdint>
#include <string>

namespace Settings {

/**
 * Returns the number of nodes of the first document, counting each alias as the nodes that it stands for. Throws YAML::Exception if the text is not YAML.
 *
 * Nested aliases multiply: 341 bytes can stand for billions of nodes. The parser shares them, but code that walks the tree visits each one, so that a
 * program that reads such a document hangs without an error. The count is taken from the parser's events, without building a tree.
 */
std::uint64_t expandedSize(const std::string &content);

}
