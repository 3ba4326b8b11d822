/// @file Selection of the entries that write claims to the log.
#pragma once

#include "LibProtocol/Member.h"

#include <span>
#include <string>
#include <vector>

namespace Claims {

/// Entries that write concurrently. Each appends at most one batch per batch interval, which keeps the appends within the log's rate limit.
inline constexpr std::size_t WriterCount = 3;

/// Entries that read the claims stream: the writers and as many standbys, so that an entry that becomes a writer already knows the claims.
inline constexpr std::size_t ReaderCount = 2 * WriterCount;

/// True if the entry should read the claims stream. The other entries don't need its claims and save the cost of reading it.
bool isClaimReader(std::span<const Protocol::Member> members, const std::string &entry);

/**
 * Returns the entries to try for a claim on @p key, in order of preference.
 *
 * Rendezvous hashing over the live entries selects the writers, and the key selects among them, so that claims on one key usually go through one
 * writer. Any entry may write any claim, since the order in the log decides. If entries disagree on which entries are live, this costs additional
 * appends but breaks no guarantee.
 */
std::vector<Protocol::Member> selectClaimWriters(std::span<const Protocol::Member> members, const std::string &key);

}
