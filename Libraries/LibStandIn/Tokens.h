/// @file The tokens that a model engine stand-in generates: a function of who asked what, so that a crossed or mixed answer shows.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace StandIn {

/**
 * Token number @p index of the answer to @p prompt.
 *
 * It has two parts, "QUESTION/WEIGHTS ": the first is a hash of account, prompt and index, which a caller can compute too;
 * the second is the start of the digest of the weights that made the token, which must be the same throughout an answer.
 */
std::string generateToken(std::string_view account, std::string_view prompt, std::uint64_t index, std::string_view weightsDigest);

/// Identifies a question in journals, so that a caller's record can be matched with what ran.
std::string questionName(std::string_view account, std::string_view prompt);

/// The first part of such a token.
std::string questionPart(std::string_view account, std::string_view prompt, std::uint64_t index);

}
