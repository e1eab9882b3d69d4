#pragma once

// In-memory table service and object store with fault injection, for tests and benchmarks.
//
//     MemoryTable table;
//     table.setFault(TableFault::LoseWriteAnswer);
//     table.write(...)  // takes effect, returns StoreUnavailable with OutcomeUnknown

#include <functional>
#include <map>
#include <mutex>

#include "storage/platform.h"

namespace foxtailturn {

enum class TableFault {
    None,
    Down, // every call fails, nothing takes effect
    LoseWriteAnswer, // writes take effect, their answers are lost
    DropWrite, // writes have no effect and their answers are lost
};

// A TableService in memory. Thread-safe.
class MemoryTable final : public TableService
{
public:
    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override;
    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override;
    Result<void> remove(const std::string &key, RowVersion expected, TimePoint deadline) override;
    Result<std::vector<Row>> scan(const std::string &prefix, TimePoint deadline) override;

    // Sets the fault for the calls that follow. Thread-safe.
    void setFault(TableFault fault);

    // Calls hook before each write takes effect, outside the lock, so that a test can interleave a
    // racing write. Thread-safe.
    void setBeforeWrite(std::function<void(const std::string &key)> hook);

    // Returns the number of reads and scans, and of writes and removals, so far. Thread-safe.
    [[nodiscard]] std::uint64_t readCount() const;
    [[nodiscard]] std::uint64_t writeCount() const;

private:
    [[nodiscard]] RowVersion versionOf(const std::string &key) const;

    mutable std::mutex mutex_;
    std::map<std::string, Row> rows_;
    RowVersion lastVersion_ = 0;
    TableFault fault_ = TableFault::None;
    std::function<void(const std::string &)> beforeWrite_;
    std::uint64_t readCount_ = 0;
    std::uint64_t writeCount_ = 0;
};

// An ObjectStore in memory. Thread-safe.
class MemoryObjects final : public ObjectStore
{
public:
    Result<std::optional<std::string>> get(const std::string &name, TimePoint deadline) override;
    Result<void> put(const std::string &name, const std::string &content,
                     TimePoint deadline) override;

    // Makes every call fail while down is true. Thread-safe.
    void setDown(bool down);

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
    bool down_ = false;
};

} // namespace foxtailturn
