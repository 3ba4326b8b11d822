/// @file Implementation of the queries to entries.

#include "EntryStatus.h"

#include <algorithm>
#include <thread>

namespace Cli {

namespace {

constexpr Core::Duration PollInterval{200};

std::size_t countLive(const Control::StatusPage &page)
{
    const auto isLive = [](const Control::InstanceStatus &status) { return !status.m_leaving; };
    return static_cast<std::size_t>(std::count_if(page.m_instances.begin(), page.m_instances.end(), isLive));
}

}

EntryStatus fetchEntryStatus(const Arguments &arguments)
{
    EntryStatus status;
    std::vector<Control::StatusPage> pages;
    for (const Core::Address &entry : arguments.m_entries) {
        const Core::Result<std::string> body = fetch(arguments, entry, "read status", "/status");
        Core::Result<Control::StatusPage> page =
            body ? Control::parseStatusPage(body.value(), entry.toString()) : Core::Result<Control::StatusPage>(body.error());
        if (page) {
            pages.push_back(std::move(page.value()));
        } else {
            status.m_errors.push_back(page.error());
        }
    }
    status.m_answeredEntries = pages.size();
    status.m_page = Control::combineStatusPages(pages);
    return status;
}

RevisionProgress waitUntilInForce(const Arguments &arguments, Control::Offset revision)
{
    const Core::Instant deadline = Core::Clock::now() + arguments.m_timeout;
    while (true) {
        const EntryStatus status = fetchEntryStatus(arguments);
        const RevisionProgress progress{countLive(status.m_page), Control::instancesBehind(status.m_page, revision), status.m_errors.size()};
        if (progress.isComplete() || Core::Clock::now() >= deadline) {
            return progress;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

}
