/// @file Which entries write claims to the log.
#pragma once

#include "LibProtocol/Member.h"

#include <span>
#include <string>
#include <vector>

namespace Claims {

/// Entries that write at the same time. Each appends at most a batch every batching interval, which keeps the appends within the log's rate.
inline constexpr std::size_t WriterCount = 3;

/// Entries that read the claims stream: the writers and as many that stand by, so that one that takes over knows the claims already.
inline constexpr std::size_t ReaderCount = 2 * WriterCount;

/// Whether an entry should read the claims stream; all others would pay for it without use.
bool isClaimReader(std::span<const Protocol::Member> members, const std::string &entry);

/**
 * The entries to try for a claim on @p key, best first.
 *
 * Rendezvous hashing over the live entries names the writers, and the key chooses among them, so that claims on one key usually meet at one
 * writer. Any entry may write any claim, since the log's order decides; entries that disagree on who is live cost appends and no promise.
 */
std::vector<Protocol::Member> selectClaimWriters(std::span<const Protocol::Member> members, const std::string &key);

}
