/// @file One request of a caller, from its arrival to the end of its answer.
#pragma once

#include "LibHttp/ClientCall.h"
#include "LibPlacement/Choice.h"
#include "LibRelay/EventFramer.h"
#include "LibRelay/Relay.h"

namespace Relay {

/// What came of trying to send a request that waits.
enum class QueueSendResult {
    Dequeued, ///< It does not wait any more.
    NoSlot, ///< There is no place for it, nor for those behind it.
    NoEndpoint, ///< No endpoint can take it; others may have better luck.
};

/**
 * The state machine of a request: checked, sent to an endpoint, answered; or sent again, where that is allowed; or given up.
 *
 * Whatever happens, the caller gets one final answer, or a cut connection if an answer broke off after its head had been passed on.
 */
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(Relay &relay, std::shared_ptr<Http::ServerConnection> connection, Http::ServerRequest request);

    void start();
    /// Called once the first configuration is known.
    void onConfigurationKnown();
    /// Sends the request if there is a place for it now.
    QueueSendResult trySendFromQueue();
    /// Refuses it, since no place is expected in time. @p ahead: requests that go on waiting.
    void rejectFromQueue(const Placement::QueueForecast &forecast, std::size_t ahead);

private:
    /// What is known of an attempt that has not ended.
    struct Attempt
    {
        Fleet::Endpoint m_endpoint;
        std::shared_ptr<Http::ClientCall> m_call;
        Core::Instant m_sentAt;
        double m_expectedMilliseconds = 0;
        Placement::EndpointLoad m_load; ///< As the choice saw it.
        Core::Duration m_reportAge{0};
    };

    /// Lets the request wait for the first configuration, or refuses it if too many wait for that already.
    void awaitConfiguration();
    bool findRoute();
    bool findAccount();
    void setDeadline();
    const Fleet::Service *chooseService();
    void tryEndpoint();
    Placement::ChoiceResult chooseEndpoint() const;
    /// Places that this process's part must hold for it; empty once it is admitted, and where requests have no objective.
    std::optional<double> neededSlots() const;
    /// Whether the engines have places, but not enough for it: less work to find out than choose().
    bool lacksSlots() const;
    /// Sends the request to the endpoint that was chosen for it.
    void admitAndSend(const Placement::Choice &choice);
    /// Goes behind the requests that wait already; false if it may not.
    bool joinQueue();
    /// Lets the request wait for a place; false if it may not.
    bool enqueue();
    /// Notes what the refusal of an engine service tells of its weights.
    void recordWeightAvailability(Placement::NoChoiceReason reason);
    bool isWaiting() const
    {
        return m_ticket.has_value();
    }
    void stopWaiting();
    /// Until when it must be sent; without a ticket.
    Placement::QueuedRequest sendDeadlines() const;
    /// Time since the caller's first try.
    Core::Duration elapsedSinceFirstTry() const;
    /// Its answer could still begin within the objective.
    bool canMeetObjective() const;
    /// Ends the request, for which no endpoint was chosen, by what has become of it so far: a refusal, a failure or a cut connection.
    void endWithoutEndpoint(Placement::NoChoiceReason noChoice);
    Placement::AdmissionView admissionView() const;
    /// When a caller that is refused should come back.
    Core::Duration retryAfter(Placement::NoChoiceReason reason) const;
    void send(const Placement::Choice &choice);
    Http::ClientCallLimits callLimits() const;
    AttemptFacts attemptFacts(const Placement::Choice &choice) const;

    void onHead(const Http::AnswerHead &head);
    bool acceptHead(const Http::AnswerHead &head, const AnswerFacts &facts);
    void forwardHead(const Http::AnswerHead &head);
    void onData(std::string_view bytes);
    void onAttemptEnded(const Http::ClientCallEnd &end);
    void recordPause();
    void onAnswerComplete();
    /// Ends the attempt under way after a failure and sends the request again, resumes its stream or gives it up.
    void onAttemptFailed(Placement::EndpointFailure failure, bool mayHaveRun, const std::string &detail);
    bool mayRetry(bool mayHaveRun);
    bool resumeStream();

    void onDeadline();
    void onCallerDisconnected();
    /// Answers with a refusal, which promises that the request has not run.
    void refuse(const std::string &reason, Core::Duration retryAfter);
    /// Answers with a failure that promises nothing.
    void fail(int status, const std::string &reason);
    void answerWithText(int status, Http::HeaderFields fields, const std::string &reason);
    void endAttempt();
    void finish(const std::string &outcome, int status, const std::string &reason);
    void logEnd(const std::string &outcome, int status, const std::string &reason);
    /// Logs why no place is expected for the request.
    void logNoSlotExpected(const Placement::QueueForecast &forecast, std::size_t ahead);
    Core::Duration timeLeft() const;

    Relay &m_relay;
    std::shared_ptr<Http::ServerConnection> m_connection;
    Http::ServerRequest m_request;
    Http::Timer m_timer;
    RequestFacts m_facts;
    std::shared_ptr<const Fleet::ConfigurationIndex> m_configuration; ///< Keeps what the pointers below point into.
    const Fleet::Route *m_route = nullptr;
    const Fleet::ClientAccount *m_account = nullptr; ///< Null on public routes and where callers need no keys.
    const Fleet::Service *m_service = nullptr;
    Core::Instant m_arrivedAt;
    Core::Instant m_deadline;
    Core::Duration m_elapsedBeforeArrival{0}; ///< Time since the caller's first try, as far as it can be told.
    std::uint32_t m_attempts = 0; ///< Endpoints that the request was sent to; one that took no connection is none.
    std::optional<std::uint64_t> m_ticket; ///< While it waits for a place.
    Core::Instant m_waitingSince;
    Core::Duration m_totalWait{0}; ///< For places, in all.
    bool m_isAdmitted = false; ///< An endpoint was chosen for it; what follows are further attempts.
    double m_firstByteMilliseconds = 0; ///< From arrival to the head of the answer; 0 before.
    std::optional<Core::Instant> m_lastEventAt; ///< When events were last passed on.
    Core::Duration m_longestPause{0}; ///< Between events of the stream so far.
    bool m_mayHaveRun = false; ///< Some attempt may have begun; from then on nothing may say that the request did not run.
    bool m_hasMetRestartedEngine = false; ///< An engine had started again since it was listed; it holds no weights yet, and so do others probably.
    bool m_isHeadForwarded = false;
    bool m_isEventStream = false;
    bool m_isFinished = false;
    std::optional<Attempt> m_attempt;
    EventFramer m_framer;
    std::set<std::string> m_excluded; ///< Endpoints that have failed this request.
    std::string m_lastFailure;
};

}
