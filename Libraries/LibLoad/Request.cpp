/// @file Names of outcomes.

#include "LibLoad/Request.h"

namespace Load {

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ok:
        return "ok";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    case Outcome::Wrong:
        return "wrong";
    }
    return "failed";
}

}
