/// @file Selection of the entries that write claims.

#include "LibClaims/ClaimWriterSelection.h"
#include "LibCore/Random.h"

#include <algorithm>

namespace Claims {

namespace {

constexpr const char *WriterElection = "claims-writer";

struct RankedEntry
{
    std::uint64_t m_weight = 0;
    const Protocol::Member *m_member = nullptr;
};

/// Returns the live entries with the highest election weights, at most @p count, in descending order.
std::vector<RankedEntry> rankEntries(std::span<const Protocol::Member> members, std::size_t count)
{
    std::vector<RankedEntry> ranked;
    for (const Protocol::Member &member : members) {
        if (member.m_role == Protocol::Role::Entry && !member.m_leaving) {
            ranked.push_back(RankedEntry{Core::rendezvousWeight(WriterElection, member.m_id), &member});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedEntry &left, const RankedEntry &right) {
        return left.m_weight != right.m_weight ? left.m_weight > right.m_weight : left.m_member->m_id < right.m_member->m_id;
    });
    ranked.resize(std::min(count, ranked.size()));
    return ranked;
}

}

bool isClaimReader(std::span<const Protocol::Member> members, const std::string &entry)
{
    const std::vector<RankedEntry> ranked = rankEntries(members, ReaderCount);
    return std::any_of(ranked.begin(), ranked.end(), [&entry](const RankedEntry &reader) { return reader.m_member->m_id == entry; });
}

std::vector<Protocol::Member> selectClaimWriters(std::span<const Protocol::Member> members, const std::string &key)
{
    std::vector<RankedEntry> ranked = rankEntries(members, WriterCount);
    for (RankedEntry &writer : ranked) {
        writer.m_weight = Core::rendezvousWeight(key, writer.m_member->m_id);
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedEntry &left, const RankedEntry &right) { return left.m_weight > right.m_weight; });
    std::vector<Protocol::Member> writers;
    for (const RankedEntry &writer : ranked) {
        writers.push_back(*writer.m_member);
    }
    return writers;
}

}
