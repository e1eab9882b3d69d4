#include "peer/incarnation.h"

#include "base/hash.h"

namespace foxtailturn {

namespace {

constexpr char kBootMark = '#';

} // namespace

std::string newIncarnation(const std::string &processName)
{
    return processName + kBootMark + randomId();
}

std::string processNameOf(const std::string &incarnation)
{
    return incarnation.substr(0, incarnation.rfind(kBootMark));
}

} // namespace foxtailturn
