#include "agent/target_lease.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"
#include "lease/lease_row.h"

namespace foxtailturn {

namespace {

const Logger kLog("target");

constexpr auto kTableTimeout = std::chrono::milliseconds(500);
constexpr const char *kTargetKeyPrefix = "targets/";

struct TargetRow
{
    FencingNumber fencingNumber_ = 0;
    std::string holder_;

    bool operator==(const TargetRow &) const = default;
};

Result<TargetRow> parseTargetRow(const std::optional<Row> &row)
{
    if (!row)
        return TargetRow{};
    const Result<Json> json = parseJson(row->value_, row->key_);
    if (!json)
        return tl::unexpected(json.error());
    JsonObject object(*json, row->key_);
    TargetRow target;
    target.fencingNumber_ = static_cast<FencingNumber>(object.integer("number", {}));
    target.holder_ = object.string("holder");
    if (object.error())
        return tl::unexpected(*object.error());
    return target;
}

} // namespace

TargetLease::TargetLease(std::string target, std::string self, const Clock &clock,
                         TableService &table, const LeaseHolder &lease)
    : target_(std::move(target))
    , self_(std::move(self))
    , clock_(&clock)
    , table_(&table)
    , lease_(&lease)
{ }

bool TargetLease::isHeld() const
{
    return fencingNumber_ != 0 && lease_->isHeld();
}

void TargetLease::tick()
{
    if (fencingNumber_ != 0 || !lease_->isHeld())
        return;
    const Result<void> acquired = acquireFencingNumber();
    if (acquired)
        kLog.info(
            concat("fencing number taken, target=", target_, " number=", fencingNumber_.load()));
    else
        kLog.info(concat("no fencing number yet, target=", target_, " code=",
                         errorName(acquired.error().code_), ": ", acquired.error().message_));
}

Result<void> TargetLease::acquireFencingNumber()
{
    const std::string key = kTargetKeyPrefix + target_;
    const Result<std::optional<Row>> row = table_->read(key, clock_->now() + kTableTimeout);
    if (!row)
        return tl::unexpected(row.error());
    const Result<TargetRow> current = parseTargetRow(*row);
    if (!current)
        return tl::unexpected(current.error());
    // The response to an earlier write was lost, and the row shows that the write was applied.
    if (current->holder_ == self_) {
        fencingNumber_ = current->fencingNumber_;
        return {};
    }
    const Result<bool> ended = hasLeaseEnded(current->holder_);
    if (!ended)
        return tl::unexpected(ended.error());
    if (!*ended)
        return notRun(ErrorCode::StoreConflict, "the lease of the agent before has not ended");
    const Json next = {{"number", current->fencingNumber_ + 1}, {"holder", self_}};
    const RowVersion expected = *row ? (*row)->version_ : kAbsent;
    const Result<RowVersion> written =
        table_->write(key, next.dump(), expected, clock_->now() + kTableTimeout);
    if (!written)
        return tl::unexpected(written.error());
    fencingNumber_ = current->fencingNumber_ + 1;
    return {};
}

Result<bool> TargetLease::hasLeaseEnded(const std::string &incarnation)
{
    if (incarnation.empty())
        return true;
    const Result<std::optional<Row>> row =
        table_->read(leaseKey(incarnation), clock_->now() + kTableTimeout);
    if (!row)
        return tl::unexpected(row.error());
    // A holder creates its lease row before it acquires a number, and the row is removed only after
    // the lease has ended. A missing row therefore means that the lease has ended.
    if (!*row)
        return true;
    const Result<LeaseRow> lease = parseLeaseRow(**row);
    if (!lease)
        return tl::unexpected(lease.error());
    return lease->state_ != LeaseState::Live;
}

} // namespace foxtailturn
