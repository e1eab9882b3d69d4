#pragma once

// Carries keys from the current revision over to the next one.
//
//     Result<ConfigurationContent> next = withCurrentKeys(rendered, current);

#include <set>
#include <string>

#include "base/error.h"
#include "config/content.h"

namespace foxtailturn {

// Returns next with these keys of current added: those issued by `key add`, since the operators'
// file doesn't have them, and all withdrawn ones, since withdrawals only grow. An issued key whose
// workspace is gone is withdrawn. A key id stands for one secret of one workspace: error
// InvalidConfiguration when next gives it another. Thread-safe.
[[nodiscard]] Result<ConfigurationContent> withCurrentKeys(ConfigurationContent next,
                                                           const ConfigurationContent &current);

// Withdraws the keys that the content has; returns whether anything changed.
bool withdrawIn(ConfigurationContent &content, const std::set<std::string> &keyIds);

} // namespace foxtailturn
