/// @file Implementation of the application of records.

#include "LibControl/ApplyRecord.h"
#include "LibCore/Digest.h"

#include <set>

namespace Control {

namespace {

constexpr std::size_t MaximumAccounts = 4096;
constexpr std::size_t MaximumNameBytes = 128;
constexpr std::size_t MaximumDetailBytes = 256;
constexpr std::uint32_t MaximumReplicas = 65536;

bool isValidName(const std::string &name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= MaximumNameBytes && name.find_first_not_of(allowed) == std::string::npos;
}

std::string accountProblem(const AccountParameters &parameters, ServiceKind kind)
{
    if (!isValidName(parameters.m_account)) {
        return "an account's name is missing or has other characters than letters, digits, - _ .";
    }
    if (kind == ServiceKind::Plain) {
        return parameters.m_model.empty() && parameters.m_digest.empty() ? "" : "account " + parameters.m_account + " names a model for a plain service";
    }
    if (!isValidName(parameters.m_model) || !isValidName(parameters.m_version)) {
        return "account " + parameters.m_account + " lacks a model or version";
    }
    if (!Core::isSha256Hex(parameters.m_digest)) {
        return "account " + parameters.m_account + " has no manifest digest";
    }
    if (parameters.m_replicas == 0 || parameters.m_replicas > MaximumReplicas) {
        return "account " + parameters.m_account + " wants too few or too many replicas";
    }
    return "";
}

/// Marks an outcome as refused.
void refuse(RecordOutcome &outcome, const std::string &detail)
{
    outcome.m_accepted = false;
    outcome.m_detail = detail.substr(0, MaximumDetailBytes);
}

/// Refuses a change that is not based on the current revision, and names that revision in the outcome. Returns whether it was refused.
bool refuseIfStale(RecordOutcome &outcome, const ControlState &state, const std::string &name, Offset basedOn)
{
    const Offset current = templateRevision(state, name);
    if (basedOn == current) {
        return false;
    }
    const std::map<std::string, AcceptedTemplate>::const_iterator accepted = state.m_templates.find(name);
    const std::map<std::string, Removal>::const_iterator removed = state.m_removals.find(name);
    outcome.m_winner = current;
    if (accepted != state.m_templates.end()) {
        outcome.m_winnerAuthor = accepted->second.m_operator;
    } else if (removed != state.m_removals.end()) {
        outcome.m_winnerAuthor = removed->second.m_operator;
    }
    refuse(outcome, "based on revision " + std::to_string(basedOn) + ", but revision " + std::to_string(current) + " is in force");
    return true;
}

void evictOldestRemoval(ControlState &state)
{
    if (state.m_removals.size() < MaximumRemovals) {
        return;
    }
    const std::map<std::string, Removal>::iterator oldest =
        std::min_element(state.m_removals.begin(),
                         state.m_removals.end(),
                         [](const std::pair<const std::string, Removal> &left, const std::pair<const std::string, Removal> &right) {
                             return left.second.m_revision < right.second.m_revision;
                         });
    state.m_removals.erase(oldest);
}

/// Returns the versions that the accounts of @p next named before, read from the template that is still in force.
std::vector<EarlierVersion> collectEarlierVersions(const ControlState &state, const Template &next)
{
    std::vector<EarlierVersion> result;
    const std::map<std::string, AcceptedTemplate>::const_iterator before = state.m_templates.find(next.m_name);
    if (before == state.m_templates.end()) {
        return result;
    }
    for (const AccountParameters &account : next.m_accounts) {
        std::vector<EarlierVersion> candidates;
        for (const AccountParameters &old : before->second.m_template.m_accounts) {
            candidates.push_back(EarlierVersion{old.m_account, old.m_version, old.m_digest});
        }
        candidates.insert(candidates.end(), before->second.m_earlier.begin(), before->second.m_earlier.end());
        std::size_t kept = 0;
        for (const EarlierVersion &candidate : candidates) {
            const bool isOther = candidate.m_account == account.m_account && candidate.m_digest != account.m_digest && !candidate.m_digest.empty();
            if (isOther && kept < MaximumEarlierVersions) {
                result.push_back(candidate);
                ++kept;
            }
        }
    }
    return result;
}

void applyChange(ControlState &state, const PublishTemplate &change, const std::string &author, RecordOutcome &outcome)
{
    const std::string problem = templateProblem(change.m_template);
    if (!problem.empty()) {
        refuse(outcome, problem);
        return;
    }
    const std::string &name = change.m_template.m_name;
    if (refuseIfStale(outcome, state, name, change.m_basedOn)) {
        return;
    }
    if (!state.m_templates.contains(name) && state.m_templates.size() >= MaximumTemplates) {
        refuse(outcome, "there are too many templates");
        return;
    }
    state.m_removals.erase(name);
    std::vector<EarlierVersion> earlier = collectEarlierVersions(state, change.m_template);
    state.m_templates[name] = AcceptedTemplate{change.m_template, outcome.m_offset, author, std::move(earlier)};
}

void applyChange(ControlState &state, const RemoveTemplate &change, const std::string &author, RecordOutcome &outcome)
{
    if (!state.m_templates.contains(change.m_name)) {
        refuse(outcome, "there is no template " + change.m_name);
        return;
    }
    if (refuseIfStale(outcome, state, change.m_name, change.m_basedOn)) {
        return;
    }
    evictOldestRemoval(state);
    state.m_templates.erase(change.m_name);
    state.m_removals[change.m_name] = Removal{outcome.m_offset, author};
}

void applyChange(ControlState &state, const PublishPlan &change, const std::string &, RecordOutcome &outcome)
{
    const std::map<std::string, Plan>::const_iterator current = state.m_plans.find(change.m_plan.m_service);
    const Offset currentOffset = current == state.m_plans.end() ? 0 : current->second.m_offset;
    if (change.m_basedOnPlan != currentOffset) {
        outcome.m_winner = currentOffset;
        refuse(outcome, "another plan came first");
        return;
    }
    if (!isValidName(change.m_plan.m_service)) {
        refuse(outcome, "the plan names no service");
        return;
    }
    Plan plan = change.m_plan;
    plan.m_offset = outcome.m_offset;
    state.m_plans[plan.m_service] = std::move(plan);
}

/// A checkpoint contains nothing new for a reader that has applied every record before it, so it never replaces the state.
void applyChange(ControlState &state, const Checkpoint &change, const std::string &, RecordOutcome &outcome)
{
    if (change.m_position > state.m_position || Core::sha256Hex(change.m_state) != change.m_digest) {
        refuse(outcome, "the checkpoint belongs to another history");
        return;
    }
    state.m_checkpoint = std::max(state.m_checkpoint, change.m_position);
}

void applyChange(ControlState &state, const Restore &change, const std::string &, RecordOutcome &outcome)
{
    if (change.m_position != state.m_position) {
        refuse(outcome, "other records came first");
        return;
    }
    if (Core::sha256Hex(change.m_state) != change.m_digest) {
        refuse(outcome, "the restored state does not match its digest");
        return;
    }
    Core::Result<ControlState> restored = decodeState(change.m_state, "");
    if (!restored) {
        refuse(outcome, restored.error().m_detail);
        return;
    }
    // The restored state replaces whatever the reader had, so that all readers agree. A reader whose own state is not covered by
    // it detects that, keeps its own state and restores the difference into the log.
    state = std::move(restored.value());
    state.m_checkpoint = change.m_position + 1;
    outcome.m_offset = state.m_applied;
}

void appendOutcome(ControlState &state, const RecordOutcome &outcome)
{
    if (state.m_outcomes.size() >= MaximumOutcomes) {
        state.m_outcomes.pop_front();
    }
    state.m_outcomes.push_back(outcome);
}

bool isCheckpoint(const Record &record)
{
    return std::holds_alternative<Checkpoint>(record.m_change);
}

RecordOutcome applyDecodedRecord(ControlState &state, const Record &record)
{
    RecordOutcome outcome;
    outcome.m_record = record.m_id;
    outcome.m_offset = state.m_applied + 1;
    const RecordOutcome *earlier = findOutcome(state, record.m_id);
    if (earlier) {
        // A writer that did not get the answer has appended the record again by mistake. The first occurrence decides.
        outcome = *earlier;
        return outcome;
    }
    outcome.m_accepted = true;
    std::visit([&state, &record, &outcome](const auto &change) { applyChange(state, change, record.m_author, outcome); }, record.m_change);
    if (!isCheckpoint(record)) {
        appendOutcome(state, outcome);
    }
    return outcome;
}

}

std::string templateProblem(const Template &wanted)
{
    if (!isValidName(wanted.m_name)) {
        return "the template's name is missing or has other characters than letters, digits, - _ .";
    }
    if (!isValidName(wanted.m_service)) {
        return "the template's service is missing or has other characters than letters, digits, - _ .";
    }
    if (!(wanted.m_originCopies >= 1 && wanted.m_originCopies <= MaximumOriginCopies)) {
        return "origin_copies is out of range";
    }
    if (wanted.m_accounts.size() > MaximumAccounts) {
        return "there are too many accounts";
    }
    std::set<std::string> accounts;
    for (const AccountParameters &parameters : wanted.m_accounts) {
        const std::string problem = accountProblem(parameters, wanted.m_kind);
        if (!problem.empty()) {
            return problem;
        }
        if (!accounts.insert(parameters.m_account).second) {
            return "account " + parameters.m_account + " is given twice";
        }
    }
    return "";
}

RecordOutcome applyRecord(ControlState &state, Offset position, std::string_view body)
{
    RecordOutcome outcome;
    outcome.m_offset = state.m_applied + 1;
    const Core::Result<Record> record = decodeRecord(body);
    if (record) {
        outcome = applyDecodedRecord(state, record.value());
    } else {
        refuse(outcome, record.error().m_detail);
    }
    const bool isRestored = record && outcome.m_accepted && std::holds_alternative<Restore>(record.value().m_change);
    if (!isRestored) {
        ++state.m_applied;
    }
    state.m_position = position;
    state.m_lastDigest = Core::sha256Hex(body);
    state.m_chain = Core::sha256Hex(state.m_chain + std::to_string(position) + ":" + state.m_lastDigest);
    return outcome;
}

}
