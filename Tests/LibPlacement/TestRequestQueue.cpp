/// @file Requests that wait for a place: their order, those given up, and what callers get when places are missing for a while or for good.

#include "LibPlacement/Admission.h"
#include "LibPlacement/EngineForecast.h"
#include "LibPlacement/RequestQueue.h"

#include <catch2/catch.hpp>
#include <deque>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
constexpr Core::Duration Objective{400};
constexpr Core::Duration Patience{6000};
constexpr Core::Duration FirstEvent{100}; ///< From sending a request until its answer begins.
constexpr Core::Duration Answer{1600}; ///< From sending a request until its answer ends.

Placement::QueuedRequest waitingSince(std::uint64_t ticket, Core::Instant since)
{
    return Placement::QueuedRequest{ticket, since + Objective - FirstEvent, since + Patience - Answer};
}

/// What callers get in a played stretch of time.
struct Outcome
{
    int m_inTime = 0;
    int m_late = 0;
    int m_unserved = 0;
    double m_waitedInVain = 0; ///< Seconds that unserved callers were held, summed.
};

struct Stretch
{
    int m_milliseconds = 12000;
    int m_withoutWeights = 0; ///< Milliseconds from the start in which no engine takes anything.
    double m_arrivalsPerSecond = 0;
    double m_places = 176; ///< Of all engines: eleven with 16 slots.
    bool m_mayWait = true; ///< Otherwise a request that finds no place is refused at once.
};

struct PlayedRequest
{
    Core::Instant m_arrivedAt; ///< First try of the caller.
    Core::Instant m_dueAt; ///< This try.
    bool m_hasReturned = false;
};

/// Callers with one return, a process that has all places, and engines whose answers take Answer each.
class PlayedFleet
{
public:
    explicit PlayedFleet(const Stretch &stretch)
        : m_stretch(stretch)
    {
    }

    Outcome play()
    {
        for (int time = 0; time < m_stretch.m_milliseconds; time += Step) {
            m_now = Start + Core::Duration(time);
            m_hasWeights = time >= m_stretch.m_withoutWeights;
            std::erase_if(m_ends, [this](Core::Instant end) { return end <= m_now; });
            const bool hasArrival = m_random.unit() < m_stretch.m_arrivalsPerSecond * Step / 1000;
            if (hasArrival && time < m_stretch.m_milliseconds - Patience.count()) {
                arrive(PlayedRequest{m_now, m_now, false});
                m_fresh.recordEvent(m_now);
            }
            comeBack();
            serve();
        }
        return m_outcome;
    }

private:
    static constexpr int Step = 2;

    struct Waiting
    {
        PlayedRequest m_request;
        Placement::QueuedRequest m_bounds;
    };

    bool hasPlace() const
    {
        return m_hasWeights && static_cast<double>(m_ends.size()) < m_stretch.m_places;
    }

    Placement::QueueForecast forecast() const
    {
        Placement::QueueForecast forecast;
        forecast.m_untilWeights = m_hasWeights ? Core::Duration(0) : Placement::remainingOutage(sinceStart(), m_settings);
        const double perSecond = m_stretch.m_places * 1000 / static_cast<double>(Answer.count());
        forecast.m_freeSlots = m_hasWeights ? std::max(0.0, m_stretch.m_places - static_cast<double>(m_ends.size())) : 0;
        forecast.m_finishedPerSecond = m_hasWeights ? perSecond : 0;
        forecast.m_expectedSlots = m_hasWeights ? 0 : m_stretch.m_places;
        forecast.m_expectedFinishedPerSecond = m_hasWeights ? 0 : perSecond;
        forecast.m_timelyArrivalsPerSecond = m_fresh.value(m_now);
        return forecast;
    }

    Core::Duration sinceStart() const
    {
        return std::chrono::duration_cast<Core::Duration>(m_now - Start);
    }

    void send(const PlayedRequest &request)
    {
        m_ends.push_back(m_now + Answer);
        ++(m_now + FirstEvent <= request.m_arrivedAt + Objective ? m_outcome.m_inTime : m_outcome.m_late);
    }

    void refuse(PlayedRequest request, Core::Duration retryAfter)
    {
        if (request.m_hasReturned) {
            ++m_outcome.m_unserved;
            m_outcome.m_waitedInVain += Core::secondsBetween(request.m_dueAt, m_now);
            return;
        }
        const Core::Duration left = std::chrono::duration_cast<Core::Duration>(request.m_arrivedAt + Patience - m_now);
        request.m_dueAt = m_now + std::min(retryAfter, left / 3);
        request.m_hasReturned = true;
        m_away.push_back(request);
    }

    void arrive(const PlayedRequest &request)
    {
        if (m_stretch.m_mayWait) {
            m_waiting.push_back(Waiting{request, waitingSince(++m_lastTicket, request.m_arrivedAt)});
            return;
        }
        if (hasPlace()) {
            send(request);
            return;
        }
        refuse(request, m_hasWeights ? Core::Duration(300) : Placement::retryAfterWithoutWeights(Patience, m_random));
    }

    void comeBack()
    {
        for (std::size_t index = 0; index < m_away.size();) {
            if (m_away[index].m_dueAt > m_now) {
                ++index;
                continue;
            }
            const PlayedRequest request = m_away[index];
            m_away.erase(m_away.begin() + static_cast<std::ptrdiff_t>(index));
            arrive(request);
        }
    }

    PlayedRequest take(std::uint64_t ticket)
    {
        const std::deque<Waiting>::iterator found =
            std::find_if(m_waiting.begin(), m_waiting.end(), [ticket](const Waiting &waiting) { return waiting.m_bounds.m_ticket == ticket; });
        const PlayedRequest request = found->m_request;
        m_waiting.erase(found);
        return request;
    }

    void serve()
    {
        std::vector<Placement::QueuedRequest> queued;
        for (const Waiting &waiting : m_waiting) {
            queued.push_back(waiting.m_bounds);
        }
        const Placement::QueueForecast expected = forecast();
        const Placement::QueueDecision decision = Placement::decideQueue(queued, expected, m_now, m_settings);
        for (const std::uint64_t ticket : decision.m_order) {
            if (!hasPlace()) {
                break;
            }
            send(take(ticket));
        }
        for (const std::uint64_t ticket : decision.m_rejected) {
            refuse(take(ticket), Placement::retryAfter(expected, decision.m_order.size(), Placement::AdmissionSettings{}));
        }
    }

    const Stretch m_stretch;
    const Placement::QueueSettings m_settings;
    Core::Random m_random{17};
    Core::Instant m_now = Start;
    bool m_hasWeights = true;
    std::uint64_t m_lastTicket = 0;
    std::vector<Core::Instant> m_ends; ///< Of the requests that the engines run.
    std::deque<Waiting> m_waiting;
    std::vector<PlayedRequest> m_away; ///< Told to come back.
    Placement::EventRate m_fresh;
    Outcome m_outcome;
};

Outcome play(const Stretch &stretch)
{
    return PlayedFleet(stretch).play();
}

}

TEST_CASE("callers who arrive while no engine has weights are served once some have")
{
    // Guards against refusing callers twice within one short outage, which ends their request although places come within their time.
    Stretch outage;
    outage.m_withoutWeights = 2300;
    outage.m_arrivalsPerSecond = 75;
    Stretch refusing = outage;
    refusing.m_mayWait = false;
    const Outcome waited = play(outage);
    const Outcome refused = play(refusing);
    CAPTURE(waited.m_inTime, waited.m_late, waited.m_unserved, refused.m_inTime, refused.m_late, refused.m_unserved);
    CHECK(waited.m_unserved < refused.m_unserved / 2);
    CHECK(waited.m_inTime + waited.m_late > refused.m_inTime + refused.m_late);
}

TEST_CASE("under lasting overload nobody is held for a place that will not come")
{
    // Guards against a queue that makes every answer late: those who have waited would take the places of those who can still be answered in time.
    Stretch overload;
    overload.m_milliseconds = 20000;
    overload.m_arrivalsPerSecond = 154; // 1.4 times what the engines finish.
    const Outcome outcome = play(overload);
    CAPTURE(outcome.m_inTime, outcome.m_late, outcome.m_unserved, outcome.m_waitedInVain);
    CHECK(outcome.m_late < outcome.m_inTime / 10);
    CHECK(outcome.m_waitedInVain < 0.1 * outcome.m_unserved);
    // The engines stay busy.
    const double possible = 176.0 * (20000 - 6000) / Answer.count();
    CHECK(outcome.m_inTime + outcome.m_late > 0.9 * possible);
}

TEST_CASE("requests that can be in time go first, each group by the time it has left")
{
    const Core::Instant now = Start + Core::Duration(5000);
    const std::vector<Placement::QueuedRequest> queued{waitingSince(1, now - Core::Duration(900)),
                                                       waitingSince(2, now),
                                                       waitingSince(3, now - Core::Duration(2000)),
                                                       waitingSince(4, now - Core::Duration(100))};
    const Placement::QueueForecast idle{Core::Duration(0), 10, 10, 0};
    const Placement::QueueDecision decision = Placement::decideQueue(queued, idle, now, Placement::QueueSettings{});
    CHECK(decision.m_order == std::vector<std::uint64_t>{4, 2, 3, 1});
    CHECK(decision.m_rejected.empty());
}

TEST_CASE("those that come back are sent while there is room, however many are refused")
{
    // Guards against refusing a caller a second time, which ends its request, although a place is free.
    const Core::Instant now = Start + Core::Duration(5000);
    const std::vector<Placement::QueuedRequest> returned{waitingSince(1, now - Core::Duration(800))};
    const Placement::QueueForecast overloaded{Core::Duration(0), 1, 10, 30};
    const Placement::QueueDecision decision = Placement::decideQueue(returned, overloaded, now, Placement::QueueSettings{});
    CHECK(decision.m_order == std::vector<std::uint64_t>{1});
    CHECK(decision.m_rejected.empty());
}

TEST_CASE("a request is given up as soon as no place is expected within its time")
{
    const Core::Instant now = Start + Core::Duration(5000);
    const Placement::QueueSettings settings;
    const std::vector<Placement::QueuedRequest> late{waitingSince(1, now - Core::Duration(2000))};
    const Placement::QueueForecast spare{Core::Duration(0), 0, 10, 5};
    const Placement::QueueForecast none{Core::Duration(0), 0, 10, 10};
    CHECK(Placement::decideQueue(late, spare, now, settings).m_rejected.empty());
    CHECK(Placement::decideQueue(late, none, now, settings).m_rejected.size() == 1);
    const Placement::QueueForecast longOutage{Core::Duration(5000), 0, 0, 5, 16, 10};
    CHECK(Placement::decideQueue(late, longOutage, now, settings).m_rejected.size() == 1);
}

TEST_CASE("callers go on waiting while the first engines come back")
{
    // Guards against taking the first of many engines that get their weights for all that there will be.
    const Core::Instant now = Start + Core::Duration(5000);
    std::vector<Placement::QueuedRequest> queued;
    for (std::uint64_t ticket = 1; ticket <= 12; ++ticket) {
        queued.push_back(waitingSince(ticket, now - Core::Duration(1500)));
    }
    const Placement::QueueForecast firstOnly{Core::Duration(0), 1, 0.5, 5, 0, 0};
    const Placement::QueueForecast othersFollow{Core::Duration(0), 1, 0.5, 5, 14, 8};
    CHECK(Placement::decideQueue(queued, firstOnly, now, Placement::QueueSettings{}).m_rejected.size() == 11);
    CHECK(Placement::decideQueue(queued, othersFollow, now, Placement::QueueSettings{}).m_rejected.empty());
}

TEST_CASE("an outage is expected to last the longer the longer it has lasted")
{
    const Placement::QueueSettings settings;
    CHECK(Placement::remainingOutage(Core::Duration(0), settings) == settings.m_typicalOutage);
    CHECK(Placement::remainingOutage(Core::Duration(8000), settings) == Core::Duration(4000));
    CHECK(Placement::remainingOutage(Core::Duration(900), settings) >= Core::Duration(100));
}

TEST_CASE("a rate forgets what happened long ago")
{
    Placement::EventRate rate;
    for (int count = 0; count < 100; ++count) {
        rate.recordEvent(Start + Core::Duration(100 * count));
    }
    const Core::Instant last = Start + Core::Duration(9900);
    CHECK(rate.value(last) == Approx(10).epsilon(0.1));
    CHECK(rate.value(last + Core::Duration(20000)) < 0.1);
}
