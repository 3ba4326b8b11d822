/// @file Tracks which version answers each client account during rollouts.
#pragma once

#include "LibControl/ControlState.h"
#include "LibEntry/Router.h"
#include "LibRouting/VersionChoice.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Entry {

/// The service and version that answer generate requests of an account now.
struct ServedVersion
{
    std::string m_service;
    std::string m_digest; ///< Empty if no version can answer now.
    std::string m_version; ///< Name of the version at the weight store.
    std::uint32_t m_weight = 1; ///< The account's share.

    bool operator==(const ServedVersion &) const = default;
};

/// Thread-safe. Falls back to earlier versions in the control state, so that a rollout does not interrupt an account.
class VersionTracker
{
public:
    explicit VersionTracker(const Router &router);

    /// Applies newly accepted state. Ignores older state.
    void onState(const Control::ControlState &state);
    /// Chooses the version that answers the account now. Fails with NotFound if no template in force names the account.
    Core::Result<ServedVersion> selectVersion(const std::string &templateName, const std::string &account);

    /// Returns the digests of earlier versions of the service that may still answer accounts.
    std::vector<std::string> previousDigests(const std::string &service) const;

private:
    struct AccountKey
    {
        std::string m_template;
        std::string m_account;

        auto operator<=>(const AccountKey &) const = default;
    };

    struct AccountRecord
    {
        std::string m_service;
        Control::AccountParameters m_parameters; ///< Parameters in force.
        std::vector<Control::EarlierVersion> m_earlierVersions; ///< Versions before the one in force, newest first.
        bool m_switched = false; ///< The version in force has answered the account.
    };

    const Router &m_router;
    mutable std::mutex m_mutex;
    std::map<AccountKey, AccountRecord> m_accounts; ///< The accounts of the templates in force.
    Control::Offset m_applied = 0;
};

}
