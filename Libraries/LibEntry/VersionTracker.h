/// @file Which version answers each client account, over the course of rollouts.
#pragma once

#include "LibControl/ControlState.h"
#include "LibEntry/Router.h"
#include "LibRouting/VersionChoice.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Entry {

/// What a generate request of one account means now.
struct ServedVersion
{
    std::string m_service;
    std::string m_digest; ///< Empty if no version can answer now.
    std::string m_version; ///< Its name at the weight store.
    std::uint32_t m_weight = 1; ///< The account's share.

    bool operator==(const ServedVersion &) const = default;
};

/// Thread-safe. Falls back to earlier versions of the control state, so that a rollout does not interrupt an account.
class VersionTracker
{
public:
    explicit VersionTracker(const Router &router);

    /// Takes in newly accepted state.
    void onState(const Control::ControlState &state);
    /// Fails with NotFound if no template in force names the account.
    Core::Result<ServedVersion> selectVersion(const std::string &templateName, const std::string &account);

    /// Digests that accounts may still be answered by besides those planned.
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
        Control::AccountParameters m_parameters; ///< In force.
        std::vector<Control::EarlierVersion> m_earlierVersions; ///< Versions before it, newest first.
        bool m_switched = false; ///< The version in force has answered.
    };

    const Router &m_router;
    mutable std::mutex m_mutex;
    std::map<AccountKey, AccountRecord> m_accounts; ///< Exactly those of the templates in force.
    Control::Offset m_applied = 0;
};

}
