#include "storage/memory_platform.h"

#include <utility>

namespace foxtailturn {

namespace {

tl::unexpected<Error> unavailable(Execution execution)
{
    return tl::unexpected(
        Error{ErrorCode::StoreUnavailable, execution, "table service is unavailable"});
}

tl::unexpected<Error> conflict()
{
    return notRun(ErrorCode::StoreConflict, "row has another version");
}

} // namespace

RowVersion MemoryTable::versionOf(const std::string &key) const
{
    const auto it = rows_.find(key);
    return it == rows_.end() ? kAbsent : it->second.version_;
}

Result<std::optional<Row>> MemoryTable::read(const std::string &key, TimePoint)
{
    const std::lock_guard lock(mutex_);
    ++readCount_;
    if (fault_ == TableFault::Down)
        return unavailable(Execution::NotRun);
    const auto it = rows_.find(key);
    return it == rows_.end() ? std::nullopt : std::optional<Row>(it->second);
}

Result<RowVersion> MemoryTable::write(const std::string &key, const std::string &value,
                                      RowVersion expected, TimePoint)
{
    std::function<void(const std::string &)> hook;
    {
        const std::lock_guard lock(mutex_);
        hook = beforeWrite_;
    }
    if (hook)
        hook(key);
    const std::lock_guard lock(mutex_);
    ++writeCount_;
    if (fault_ == TableFault::Down)
        return unavailable(Execution::NotRun);
    if (fault_ == TableFault::DropWrite)
        return unavailable(Execution::OutcomeUnknown);
    if (versionOf(key) != expected)
        return fault_ == TableFault::LoseWriteAnswer ? unavailable(Execution::OutcomeUnknown)
                                                     : conflict();
    rows_[key] = Row{key, value, ++lastVersion_};
    if (fault_ == TableFault::LoseWriteAnswer)
        return unavailable(Execution::OutcomeUnknown);
    return lastVersion_;
}

Result<void> MemoryTable::remove(const std::string &key, RowVersion expected, TimePoint)
{
    const std::lock_guard lock(mutex_);
    ++writeCount_;
    if (fault_ == TableFault::Down)
        return unavailable(Execution::NotRun);
    if (fault_ == TableFault::DropWrite)
        return unavailable(Execution::OutcomeUnknown);
    if (versionOf(key) != expected)
        return conflict();
    rows_.erase(key);
    if (fault_ == TableFault::LoseWriteAnswer)
        return unavailable(Execution::OutcomeUnknown);
    return {};
}

Result<std::vector<Row>> MemoryTable::scan(const std::string &prefix, TimePoint)
{
    const std::lock_guard lock(mutex_);
    ++readCount_;
    if (fault_ == TableFault::Down)
        return unavailable(Execution::NotRun);
    std::vector<Row> rows;
    for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
            break;
        rows.push_back(it->second);
    }
    return rows;
}

void MemoryTable::setFault(TableFault fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = fault;
}

void MemoryTable::setBeforeWrite(std::function<void(const std::string &)> hook)
{
    const std::lock_guard lock(mutex_);
    beforeWrite_ = std::move(hook);
}

std::uint64_t MemoryTable::readCount() const
{
    const std::lock_guard lock(mutex_);
    return readCount_;
}

std::uint64_t MemoryTable::writeCount() const
{
    const std::lock_guard lock(mutex_);
    return writeCount_;
}

Result<std::optional<std::string>> MemoryObjects::get(const std::string &name, TimePoint)
{
    const std::lock_guard lock(mutex_);
    if (down_)
        return unavailable(Execution::NotRun);
    const auto it = objects_.find(name);
    return it == objects_.end() ? std::nullopt : std::optional<std::string>(it->second);
}

Result<void> MemoryObjects::put(const std::string &name, const std::string &content, TimePoint)
{
    const std::lock_guard lock(mutex_);
    if (down_)
        return unavailable(Execution::NotRun);
    objects_.emplace(name, content);
    return {};
}

void MemoryObjects::setDown(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
}

} // namespace foxtailturn
