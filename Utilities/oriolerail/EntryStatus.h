/// @file Queries to entries for what is in force.
#pragma once

#include "Command.h"
#include "LibControl/StatusPage.h"

namespace Cli {

/// Combined status pages of the entries that answered.
struct EntryStatus
{
    Control::StatusPage m_page;
    std::size_t m_answeredEntries = 0;
    std::vector<Core::Error> m_errors; ///< One for each entry that did not answer.
};

EntryStatus fetchEntryStatus(const Arguments &arguments);

/// On which instances a revision is in force.
struct RevisionProgress
{
    std::size_t m_instances = 0; ///< Number of known live instances.
    std::vector<std::string> m_instancesBehind; ///< Known live instances on which the revision is not in force.
    std::size_t m_unreachableEntries = 0; ///< Entries that did not answer.

    bool isComplete() const
    {
        return m_instances > 0 && m_instancesBehind.empty();
    }
};

/// Polls the entries until the revision is in force on every live instance or the timeout expires.
RevisionProgress waitUntilInForce(const Arguments &arguments, Control::Offset revision);

}
