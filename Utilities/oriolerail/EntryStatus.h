/// @file Asking entries what is in force.
#pragma once

#include "Command.h"
#include "LibControl/StatusPage.h"

namespace Cli {

/// Pages of the entries that answered, combined.
struct EntryStatus
{
    Control::StatusPage m_page;
    std::size_t m_answered = 0;
    std::vector<Core::Error> m_errors; ///< Of the entries that did not answer.
};

EntryStatus askEntries(const Arguments &arguments);

/// How far a revision has come.
struct InForce
{
    std::size_t m_instances = 0; ///< Live ones that are known.
    std::vector<std::string> m_behind; ///< Those among them where it is not in force.
    std::size_t m_unreachable = 0; ///< Entries that did not answer.

    bool isComplete() const
    {
        return m_instances > 0 && m_behind.empty();
    }
};

/// Asks until the revision is in force on every live instance, or the time is over.
InForce waitUntilInForce(const Arguments &arguments, Control::Offset revision);

}
