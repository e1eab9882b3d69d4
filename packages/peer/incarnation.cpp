#include "peer/incarnation.h"

#include "base/hash.h"

namespace foxtailturn {

namespace {

constexpr char kBootIdSeparator = '#';

} // namespace

std::string newIncarnation(const std::string &processName)
{
    return processName + kBootIdSeparator + randomId();
}

std::string processNameOf(const std::string &incarnation)
{
    return incarnation.substr(0, incarnation.rfind(kBootIdSeparator));
}

} // namespace foxtailturn
