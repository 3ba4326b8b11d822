/// @file One request of a caller, from its arrival to the end of its answer.
#pragma once

#include "LibHttp/ClientCall.h"
#include "LibPlacement/Choice.h"
#include "LibQuarantine/RequestIdentity.h"
#include "LibRelay/AttemptWindow.h"
#include "LibRelay/EventFramer.h"
#include "LibRelay/LeavingDecision.h"
#include "LibRelay/Relay.h"

namespace Relay {

/// Result of trying to send a waiting request.
enum class QueueSendResult {
    Dequeued, ///< The request was sent and no longer waits.
    NoSlot, ///< There is no free slot for it, nor for the requests behind it.
    NoEndpoint, ///< No endpoint can take this request; other requests may still be sent.
};

/**
 * State machine of a request: it is checked, sent to an endpoint and answered; retried where that is allowed; or refused or failed.
 *
 * The caller always gets exactly one final answer, or a closed connection if an answer was interrupted after its head had been forwarded.
 */
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(Relay &relay, std::shared_ptr<Http::ServerConnection> connection, Http::ServerRequest request);

    void start();
    /// Continues the request once a configuration is known.
    void onConfigurationKnown();
    /// Sends the request if there is a free slot for it now.
    QueueSendResult trySendFromQueue();
    /// Removes the request from the queue and ends it, because no slot is expected in time. @p ahead: number of requests that keep waiting.
    void rejectFromQueue(const Placement::QueueForecast &forecast, std::size_t ahead);
    /// Ends the request if it waits and would not end before the process, which is leaving.
    void onLeaving();
    /// Ends the request because the process ends.
    void endWithProcess();

private:
    /// An attempt that has not ended.
    struct Attempt
    {
        std::uint32_t m_number = 0; ///< Differs between the attempts of a request.
        Fleet::Endpoint m_endpoint;
        std::shared_ptr<Http::ClientCall> m_call;
        Core::Instant m_sentAt;
        double m_expectedMilliseconds = 0;
        Placement::EndpointLoad m_load; ///< Load of the endpoint when it was chosen.
        Core::Duration m_reportAge{0};
        std::optional<std::uint64_t> m_version; ///< Of the weights that the endpoint had when it was chosen; empty for plain services.
        std::optional<Core::Instant> m_answerBeganAt; ///< When the head of the endpoint's own success arrived.
        std::optional<Http::BodyEnd> m_bodyEnd; ///< Of its answer. Kept here while it is the silent attempt, as is the next one.
        bool m_hasForwardedEvents = false;
    };

    /// Lets the request wait for the first configuration, or refuses it if too many requests already wait for it.
    void awaitConfiguration();
    bool findRoute();
    bool findAccount();
    void setDeadline();
    const Fleet::Service *chooseService();
    void tryEndpoint();
    Placement::ChoiceResult chooseEndpoint() const;
    /// Returns how many slots must be free in this process's share to admit the request; empty once it is admitted and on routes without an objective.
    std::optional<double> neededSlots() const;
    /// Returns whether the engines have slots, but not enough free ones for the request. This check is cheaper than chooseEndpoint().
    bool lacksSlots() const;
    /// Returns whether the request may be sent now. Otherwise it has been refused, or waits until it is known whether endpoints end under it.
    bool passesQuarantine();
    /// Lets the request wait until it is known whether endpoints end under it; refuses it if there is no time or room for that.
    void hold(const Quarantine::Treatment &treatment);
    void continueAfterHold();
    void endHold();
    /// Records that the connection to the current attempt's endpoint was lost while the request was there.
    void recordEndpointLost();
    void recordAnswerCompleted();
    Quarantine::Incarnation incarnation() const;
    /// Describes the current attempt.
    Quarantine::RunFacts runFacts() const;
    Quarantine::Account quarantineAccount() const;
    Quarantine::RequestContent content() const;
    /// Returns whether endpoints have ended under the request, as far as this process knows, so that its identity is needed.
    bool isKnownToQuarantine();
    Quarantine::Treatment treatment();
    /// Returns the identity of the request, which is computed once.
    const Quarantine::PromptPart &identity();
    /// Marks the request as admitted and sends it to the chosen endpoint.
    void admitAndSend(const Placement::Choice &choice);
    /// Adds the request to the requests that already wait and dispatches them; returns false if it may not wait.
    bool joinQueue();
    /// Lets the request wait for a slot; returns false if it may not.
    bool enqueue();
    /// Records whether engines of the service have weights, according to the reason why none was chosen.
    void recordWeightAvailability(Placement::NoChoiceReason reason);
    bool isWaiting() const
    {
        return m_ticket.has_value();
    }
    void stopWaiting();
    /// Returns the times by which the request must be sent; without a ticket.
    Placement::QueuedRequest sendDeadlines() const;
    /// Returns the time since the caller's first try.
    Core::Duration elapsedSinceFirstTry() const;
    /// Returns whether the answer could still begin within the latency objective.
    bool canMeetObjective() const;
    /// Names the requests whose answers take similar times.
    std::string answerTimeKey() const;
    /// Returns how long a complete answer takes at most at a full engine according to its model; zero for plain services, which have none.
    Core::Duration expectedAnswerTime() const;
    /// Returns the times that decide whether the request may still begin; empty unless the process is leaving.
    std::optional<LeavingView> leavingView() const;
    /// Returns whether the request ends before this process does if it is sent to an endpoint now.
    bool canEndInTime() const;
    /// Ends a request that would not end before this process does.
    void endForLeaving();
    /// Records how long the endpoints have taken for the request, which has just ended.
    void recordAnswerTime();
    /// Ends a request for which no endpoint was chosen.
    void endWithoutEndpoint(Placement::NoChoiceReason noChoiceReason);
    /// Ends a request that is not sent any more with a refusal, a failure or a closed connection, depending on what has been sent so far.
    void endUnsent(const std::string &reason, Core::Duration retryAfter);
    Placement::AdmissionView admissionView() const;
    /// Returns the time after which a refused caller should retry.
    Core::Duration retryAfter(Placement::NoChoiceReason reason) const;
    /// Returns the time after which a caller should retry if it was refused because all endpoints have asked for a time without requests.
    Core::Duration retryAfterBackoff() const;
    void send(const Placement::Choice &choice);
    Http::ClientCallLimits callLimits() const;
    /// Returns how long the caller goes on waiting.
    CallerWait callerWait() const;
    AttemptFacts attemptFacts(const Placement::Choice &choice) const;

    void onHead(const Http::AnswerHead &head);
    bool acceptHead(const Http::AnswerHead &head, const AnswerFacts &facts);
    /// Records and logs a limit on requests that the endpoint states in its answer.
    void recordLimit(const AnswerFacts &facts);
    /// Returns whether the answer may come from the endpoint that the request was sent to, and not from another one at its address or to another request.
    bool isEndpointsOwn(const Http::AnswerHead &head, const AnswerFacts &facts) const;
    /// Records and logs that the endpoint is leaving.
    void recordLeaving(const Http::AnswerHead &head, const AnswerFacts &facts);
    /// Records and logs a time for which the endpoint wants no requests of this process, as stated in a refusal.
    void recordBackoff(const Http::AnswerHead &head, const AnswerFacts &facts);
    void forwardHead(const Http::AnswerHead &head);
    /// Returns how the answer is delimited for the caller.
    Http::AnswerFraming framing(const Http::AnswerHead &head) const;
    void onData(std::string_view bytes);
    void onAttemptEnded(const Http::ClientCallEnd &end);
    /// Reserves memory for the incomplete event of the stream. Returns false if there is none.
    bool reservePartialEvent();
    void recordPause();
    /// Returns what shows that the answer was broken off although its body has ended as its framing demands; empty if nothing does.
    std::string interruption() const;
    void onBodyEnded();
    /// Ends the current attempt after a failure, and retries the request, resumes its stream or ends it.
    void onAttemptFailed(Placement::EndpointFailure failure, bool mayHaveRun, const std::string &detail);
    /// Returns what forbids another attempt: the route, or the endpoints that were lost with the request.
    RetryObstacle attemptObstacle(bool mayHaveRun);
    bool hasAttemptLeft(bool mayHaveRun);
    /// Reserves a retry of the budget if another attempt is allowed. Returns whether it is.
    bool mayRetry(bool mayHaveRun);
    /// Returns whether the next attempt can arrive at an endpoint after an earlier one did, so that the budget must allow it.
    bool isRetry() const
    {
        return m_attempts > 0;
    }
    bool isFirstRetry() const
    {
        return m_attempts == 1;
    }
    /// Reserves a retry of the budget, unless one is reserved or paid for already, and logs the decision. Returns false if the budget allows none.
    bool reserveRetry();
    /// Returns whether reserveRetry() would succeed.
    bool isRetryInBudget();
    /// Spends the reservation for an attempt that is sent now. Returns false if there is none, and the budget allows none.
    bool spendRetry();
    /// Gives back a reservation that was not used.
    void releaseRetry();
    /// Returns whether the current attempt ends, whose endpoint is silent: another one can take over, or the attempt has become useless. If not, the request
    /// goes on waiting for it. A stream that has begun may meanwhile be sent to another endpoint as well.
    bool shouldLeaveEndpoint();
    /// Makes the current attempt the silent one, and sends the rest of the stream to another endpoint.
    void replaceSilentAttempt(const Placement::Choice &choice);
    bool isSilentAttempt(std::uint32_t number) const;
    /// Makes the attempt the current one and ends its replacement, if it is the silent attempt, whose endpoint goes on.
    void selectAttempt(std::uint32_t number);
    /// Makes the silent attempt the current one again. Its replacement must have ended.
    void returnToSilentAttempt();
    void onSilentAttemptLost(const Http::ClientCallEnd &end);
    void endSilentAttempt();
    /// Returns whether the current attempt could only begin on weights that no request may begin on any more.
    bool isAttemptOutdated() const;
    bool resumeStream();
    /// Sends the rest of a stream to another endpoint, now or once there is a slot; returns false if that is not possible.
    bool continueStream();

    void onDeadline();
    void onCallerDisconnected();
    /// Answers with a refusal, which guarantees that the request has not run.
    void refuse(const std::string &reason, Core::Duration retryAfter);
    /// Answers with a failure, after which the request may have run.
    void fail(int status, const std::string &reason);
    void answerWithText(int status, Http::HeaderFields fields, const std::string &reason);
    void endAttempt();
    void finish(RequestOutcome outcome, int status, const std::string &reason);
    void countEnd(RequestOutcome outcome);
    void logEnd(RequestOutcome outcome, int status, const std::string &reason);
    /// Logs and counts it if the caller's connection ends before the complete answer has been written to it.
    void watchForUnsentAnswer();
    /// Returns what the account of ended requests needs to know of this one.
    RequestEnd describeEnd(RequestOutcome outcome) const;
    /// Logs why no slot is expected for the request.
    void logNoSlotExpected(const Placement::QueueForecast &forecast, std::size_t ahead);
    /// Adds what an engine that ended may have been working on: when its answer began, the parts of the prompt, and the identity of the request.
    void describeWork(Telemetry::LogLine &line) const;
    /// Adds the configurations in force when the request arrived and now, and how long ago the present one was confirmed.
    void describeConfiguration(Telemetry::LogLine &line) const;
    Core::Duration timeLeft() const;

    Relay &m_relay;
    std::shared_ptr<Http::ServerConnection> m_connection;
    Http::ServerRequest m_request;
    Http::Timer m_timer;
    RequestFacts m_facts;
    std::shared_ptr<const Fleet::ConfigurationIndex> m_configuration; ///< Owns the objects that the pointers below refer to.
    const Fleet::Route *m_route = nullptr;
    const Fleet::ClientAccount *m_account = nullptr; ///< Null on public routes and if callers need no keys.
    const Fleet::Service *m_service = nullptr;
    Placement::AllowedPlaces m_places; ///< By the configuration in force when the request arrived, also for its later attempts.
    Placement::PromptPreference m_prompt; ///< The default prefers no engine.
    std::uint32_t m_rank = 0; ///< Priority at engines; 0 is the most urgent. For services with ranks the sum of the route's and the account's.
    bool m_mayBorrow = false; ///< One of the most urgent requests of a service with ranks.
    Core::Duration m_yielded{0}; ///< Time by which it goes behind more urgent requests; zero for services without ranks.
    Core::Instant m_arrivedAt;
    Core::Instant m_deadline;
    Core::Duration m_elapsedBeforeArrival{0}; ///< Estimated time from the caller's first try to the arrival of this request.
    std::uint32_t m_attempts = 0; ///< Endpoints that the request was sent to. Endpoints that accepted no connection do not count.
    double m_retryLot; ///< See Placement::RetryQuestion.
    Placement::RetryGrant m_retryGrant = Placement::RetryGrant::None; ///< Reserved for the next attempt.
    bool m_isRetryPaid = false; ///< The reservation was spent on an attempt that could not be sent, and covers the next one.
    std::optional<std::uint64_t> m_ticket; ///< Set while the request waits for a slot.
    Core::Instant m_waitingSince;
    Core::Duration m_totalWait{0}; ///< Total time spent waiting for slots.
    std::optional<Core::Instant> m_firstSentAt; ///< When it was first sent to an endpoint.
    bool m_isAdmitted = false; ///< An endpoint was chosen for the request before; later attempts need no admission.
    Core::Duration m_expectedFirstByte{0}; ///< From the request's arrival, as expected when the last attempt was sent.
    double m_firstByteMilliseconds = 0; ///< From the request's arrival to the head of the answer; 0 until the head arrives.
    std::optional<Core::Instant> m_lastEventAt; ///< When events were last forwarded.
    Core::Duration m_longestPause{0}; ///< Longest pause between events of the stream so far.
    bool m_mayHaveRun = false; ///< Some attempt may have run. From then on no answer may state that the request did not run.
    bool m_hasMetRestartedEngine = false; ///< An engine had restarted since it was listed. It holds no weights yet, and other engines probably hold none.
    bool m_isHeadForwarded = false;
    std::string m_statedRetryAfter; ///< Retry-After of the last answer whose head has arrived, as received; empty if it had none.
    std::optional<Http::BodyEnd> m_bodyEnd; ///< Of the last answer whose head has arrived.
    Http::AnswerFraming m_framing; ///< Of the answer to the caller, once its head is forwarded.
    bool m_isEventStream = false;
    bool m_hasAttemptForwardedEvents = false; ///< The current attempt has contributed events to the stream.
    bool m_isFinished = false;
    std::optional<Attempt> m_attempt;
    std::optional<Attempt> m_silentAttempt; ///< Set while m_attempt replaces it: a stream that has begun and pauses. Its replacement has not begun to answer.
    std::uint32_t m_lastAttemptNumber = 0;
    EventFramer m_framer;
    Core::ByteReservation m_partialEventMemory; ///< For the incomplete event in m_framer.
    std::vector<Quarantine::PromptPart> m_promptParts; ///< Empty unless the request is for a model engine.
    std::string m_identityPrefix; ///< Empty until it is needed.
    std::optional<Quarantine::PromptPart> m_identity; ///< Empty until it is needed: digesting a large body takes time.
    std::uint32_t m_lostEndpoints = 0; ///< Endpoints that were lost while the request was there.
    Http::Timer m_holdTimer;
    bool m_isHeld = false; ///< Counted among the relay's held requests.
    std::set<std::string> m_excluded; ///< Ids of the endpoints at which this request has failed.
    std::string m_lastFailure;
    RetryObstacle m_retryObstacle = RetryObstacle::None; ///< Of the last retry that was wanted.
};

}
