#include "config/key_merge.h"

#include <algorithm>

#include "base/log.h"

namespace foxtailturn {

namespace {

bool hasWorkspace(const ConfigurationContent &content, const std::string &id)
{
    return std::ranges::find(content.workspaces_, id, &Workspace::id_) != content.workspaces_.end();
}

} // namespace

Result<ConfigurationContent> withCurrentKeys(ConfigurationContent next,
                                             const ConfigurationContent &current)
{
    for (const Key &key : current.keys_) {
        const auto given = std::ranges::find(next.keys_, key.id_, &Key::id_);
        if (given != next.keys_.end()) {
            if (given->hash_ != key.hash_ || given->workspace_ != key.workspace_)
                return notRun(ErrorCode::InvalidConfiguration,
                              concat("key '", key.id_, "' can't get another hash or workspace; ",
                                     "withdraw it and add a key with a new id"));
            given->withdrawn_ = given->withdrawn_ || key.withdrawn_;
            continue;
        }
        if (!key.issued_ && !key.withdrawn_)
            continue;
        Key &kept = next.keys_.emplace_back(key);
        kept.withdrawn_ = kept.withdrawn_ || !hasWorkspace(next, key.workspace_);
    }
    return next;
}

bool withdrawIn(ConfigurationContent &content, const std::set<std::string> &keyIds)
{
    bool isChanged = false;
    for (Key &key : content.keys_) {
        if (key.withdrawn_ || keyIds.count(key.id_) == 0)
            continue;
        key.withdrawn_ = true;
        isChanged = true;
    }
    return isChanged;
}

} // namespace foxtailturn
