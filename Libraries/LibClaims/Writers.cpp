/// @file Choice of the entries that write claims.

#include "LibClaims/Writers.h"
#include "LibCore/Random.h"

#include <algorithm>

namespace Claims {

namespace {

constexpr const char *WriterElection = "claims-writer";

struct Ranked
{
    std::uint64_t m_weight = 0;
    const Protocol::Member *m_member = nullptr;
};

}

std::vector<Protocol::Member> claimWriters(std::span<const Protocol::Member> members, const std::string &key)
{
    std::vector<Ranked> ranked;
    for (const Protocol::Member &member : members) {
        if (member.m_role == Protocol::Role::Entry && !member.m_leaving) {
            ranked.push_back(Ranked{Core::rendezvousWeight(WriterElection, member.m_id), &member});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.m_weight != right.m_weight ? left.m_weight > right.m_weight : left.m_member->m_id < right.m_member->m_id;
    });
    if (ranked.size() > WriterCount) {
        ranked.resize(WriterCount);
    }
    for (Ranked &writer : ranked) {
        writer.m_weight = Core::rendezvousWeight(key, writer.m_member->m_id);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) { return left.m_weight > right.m_weight; });
    std::vector<Protocol::Member> writers;
    for (const Ranked &writer : ranked) {
        writers.push_back(*writer.m_member);
    }
    return writers;
}

}
