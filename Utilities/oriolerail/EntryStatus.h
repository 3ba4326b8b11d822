/// @file Asking entries what is in force.
#pragma once

#include "Command.h"
#include "LibControl/StatusPage.h"

namespace Cli {

/// Pages of the entries that answered, combined.
struct EntryStatus
{
    Control::StatusPage m_page;
    std::size_t m_answeredEntries = 0;
    std::vector<Core::Error> m_errors; ///< Of the entries that did not answer.
};

EntryStatus fetchEntryStatus(const Arguments &arguments);

/// How far a revision has come.
struct RevisionProgress
{
    std::size_t m_instances = 0; ///< Live ones that are known.
    std::vector<std::string> m_instancesBehind; ///< Those among them where it is not in force.
    std::size_t m_unreachableEntries = 0; ///< Entries that did not answer.

    bool isComplete() const
    {
        return m_instances > 0 && m_instancesBehind.empty();
    }
};

/// Asks until the revision is in force on every live instance, or the time is over.
RevisionProgress waitUntilInForce(const Arguments &arguments, Control::Offset revision);

}
