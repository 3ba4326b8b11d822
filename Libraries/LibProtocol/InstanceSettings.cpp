/// @file Reading of the settings sections common to every process.

#include "LibProtocol/InstanceSettings.h"
#include "LibCore/Random.h"

namespace Protocol {

InstanceSettings readInstanceSettings(Settings::Reader &reader, Role role)
{
    InstanceSettings settings;
    Member &member = settings.m_member;
    member.m_role = role;
    member.m_incarnation = Core::randomIdentifier();
    reader.section("instance", [&member, role](Settings::Reader &section) {
        member.m_id = section.text("id");
        member.m_region = section.text("region");
        member.m_failureDomain = section.text("failure_domain");
        if (role == Role::Agent) {
            member.m_service = section.text("service");
        }
    });
    reader.section("listen", [&member, role](Settings::Reader &section) {
        member.m_wire = section.address("wire");
        member.m_admin = section.address("admin");
        if (role == Role::Entry) {
            member.m_callers = section.address("callers");
        }
    });
    reader.section("network", [&settings](Settings::Reader &section) { settings.m_network = Network::readNetworkSettings(section); });
    settings.m_logDirectory = reader.text("log_directory", "");
    return settings;
}

}
