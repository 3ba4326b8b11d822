/// @file Example templates, members and records for the tests of LibControl.
#pragma once

#include "LibControl/ApplyRecord.h"
#include "LibControl/StateStore.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace Examples {

inline Control::AccountParameters account(const std::string &name, char digest, std::uint32_t replicas, std::vector<std::string> failureDomains = {})
{
    return Control::AccountParameters{name, "model", std::string("v") + digest, std::string(64, digest), replicas, std::move(failureDomains), 1};
}

inline Control::Template makeTemplate(const std::string &name, std::vector<Control::AccountParameters> accounts)
{
    Control::Template example;
    example.m_name = name;
    example.m_service = "drafts";
    example.m_accounts = std::move(accounts);
    return example;
}

inline Control::Record makePublishRecord(const std::string &id, Control::Offset basedOn, const Control::Template &wanted, const std::string &author = "ann")
{
    return Control::Record{id, author, Control::PublishTemplate{basedOn, wanted}};
}

inline Control::RecordOutcome applyNext(Control::ControlState &state, const Control::Record &record)
{
    return Control::applyRecord(state, state.m_position + 1, Control::encodeRecord(record));
}

inline Protocol::Member agent(int number, const std::string &domain, const std::string &service = "drafts")
{
    Protocol::Member member;
    member.m_id = "agent-" + std::to_string(number);
    member.m_incarnation = "life-of-" + member.m_id;
    member.m_role = Protocol::Role::Agent;
    member.m_service = service;
    member.m_region = domain.substr(0, domain.find('-'));
    member.m_failureDomain = domain;
    member.m_wire = Core::Address{"127.0.0.1", static_cast<std::uint16_t>(10000 + number)};
    return member;
}

/// Agents spread evenly over the domains.
inline std::vector<Protocol::Member> fleet(int size, const std::vector<std::string> &domains)
{
    std::vector<Protocol::Member> members;
    for (int number = 0; number < size; ++number) {
        members.push_back(agent(number, domains[static_cast<std::size_t>(number) % domains.size()]));
    }
    return members;
}

/// Waits for a condition. Returns false if it is not met within a time that only a hanging test reaches.
inline bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds timeout{30};
    const Core::Instant deadline = Core::Clock::now() + timeout;
    while (Core::Clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

}
