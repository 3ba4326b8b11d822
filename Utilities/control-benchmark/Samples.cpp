/// @file Implementation of the sample fleets.

#include "Samples.h"
#include "LibCore/Random.h"

namespace Benchmark {

namespace {

constexpr int Accounts = 10;
constexpr int DigestLength = 64;

}

Control::Template makeTemplate(int replicas, char digest)
{
    Control::Template sample;
    sample.m_name = "drafts";
    sample.m_service = "drafting-models";
    for (int number = 0; number < Accounts; ++number) {
        const int share = number < 2 ? replicas / 4 : replicas / 16;
        Control::AccountParameters parameters;
        parameters.m_account = "account-" + std::to_string(number);
        parameters.m_model = "model-" + std::to_string(number);
        parameters.m_version = std::string("v") + digest;
        parameters.m_digest.assign(DigestLength, static_cast<char>('0' + number));
        parameters.m_digest.front() = digest;
        parameters.m_replicas = static_cast<std::uint32_t>(std::max(1, share));
        sample.m_accounts.push_back(std::move(parameters));
    }
    return sample;
}

std::vector<Protocol::Member> makeFleet(int instances)
{
    static const std::vector<std::string> domains = {"hcm-a", "hcm-b", "hanoi-a", "hanoi-b"};
    std::vector<Protocol::Member> members;
    for (int number = 0; number < instances; ++number) {
        Protocol::Member member;
        member.m_failureDomain = domains[static_cast<std::size_t>(number) % domains.size()];
        member.m_region = member.m_failureDomain.substr(0, member.m_failureDomain.find('-'));
        member.m_id = member.m_failureDomain + "-" + std::to_string(number);
        member.m_incarnation = Core::randomIdentifier();
        member.m_role = Protocol::Role::Agent;
        member.m_service = "drafting-models";
        member.m_wire = Core::Address{"127.1." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250), 7000};
        member.m_admin = Core::Address{member.m_wire.m_host, 7001};
        members.push_back(std::move(member));
    }
    return members;
}

Control::Record makePublishRecord(Control::Offset basedOn, const Control::Template &published)
{
    return Control::Record{Core::randomIdentifier(), "operator", Control::PublishTemplate{basedOn, published}};
}

}
