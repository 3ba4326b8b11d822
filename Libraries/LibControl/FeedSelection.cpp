/// @file Implementation of the feed selection.

#include "LibControl/FeedSelection.h"
#include "LibCore/Random.h"

#include <algorithm>
#include <optional>

namespace Control {

namespace {

bool isUsableEntry(const Protocol::Member &member, const Protocol::Member &self)
{
    return member.m_role == Protocol::Role::Entry && !member.m_leaving && member.m_id != self.m_id && member.m_wire != self.m_wire;
}

std::optional<Core::Address> nextInRing(const Protocol::Member &self, std::span<const Protocol::Member> members, const std::set<Core::Address> &avoided)
{
    const Protocol::Member *next = nullptr;
    const Protocol::Member *first = nullptr;
    for (const Protocol::Member &member : members) {
        if (!isUsableEntry(member, self) || avoided.contains(member.m_wire)) {
            continue;
        }
        if (!first || member.m_id < first->m_id) {
            first = &member;
        }
        if (member.m_id > self.m_id && (!next || member.m_id < next->m_id)) {
            next = &member;
        }
    }
    const Protocol::Member *chosen = next ? next : first;
    return chosen ? std::optional<Core::Address>(chosen->m_wire) : std::nullopt;
}

}

std::vector<Core::Address> selectFeeds(const Protocol::Member &self,
                                       std::span<const Protocol::Member> members,
                                       std::span<const Core::Address> seeds,
                                       const std::set<Core::Address> &avoided,
                                       std::size_t count)
{
    std::set<Core::Address> known(seeds.begin(), seeds.end());
    for (const Protocol::Member &member : members) {
        if (member.m_role == Protocol::Role::Entry && member.m_leaving) {
            known.erase(member.m_wire);
        }
        if (isUsableEntry(member, self)) {
            known.insert(member.m_wire);
        }
    }
    known.erase(self.m_wire);
    std::vector<Core::Address> ranked(known.begin(), known.end());
    const auto rank = [&self, &avoided](const Core::Address &address) {
        return std::pair(avoided.contains(address), ~Core::rendezvousWeight(self.m_id, address.toString()));
    };
    std::sort(ranked.begin(), ranked.end(), [&rank](const Core::Address &left, const Core::Address &right) { return rank(left) < rank(right); });
    if (self.m_role == Protocol::Role::Entry) {
        const std::optional<Core::Address> next = nextInRing(self, members, avoided);
        if (next) {
            std::erase(ranked, *next);
            ranked.insert(ranked.begin(), *next);
        }
    }
    ranked.resize(std::min(ranked.size(), count));
    return ranked;
}

}
