#include "gateway/table_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailturn::gateway {

namespace {

tl::unexpected<Error> outdated()
{
    return outcomeUnknown(ErrorCode::StoreUnavailable,
                          "the answer is older than what was read before");
}

} // namespace

std::string TableReader::nextKey() const
{
    return pages_.empty() ? "" : pages_.back().key_ + '\0';
}

void TableReader::startOver()
{
    isReading_ = true;
    pages_.clear();
    firstPage_ = {};
}

Result<TableNews> TableReader::onPage(StoreRows rows)
{
    if (rows.position_ < std::max(position_, firstPage_))
        return outdated();
    if (!pages_.empty() && rows.position_.era_ != firstPage_.era_) {
        startOver();
        return TableNews();
    }
    if (pages_.empty())
        firstPage_ = rows.position_;
    pages_.insert(pages_.end(), std::make_move_iterator(rows.rows_.begin()),
                  std::make_move_iterator(rows.rows_.end()));
    if (rows.isTruncated_ && !rows.rows_.empty())
        return TableNews();
    const bool isCopy = isLoaded_ && firstPage_.era_ != position_.era_;
    isLoaded_ = true;
    isReading_ = false;
    position_ = std::exchange(firstPage_, {});
    return TableNews{isCopy ? TableContent::Copy : TableContent::Snapshot,
                     std::exchange(pages_, {})};
}

Result<TableNews> TableReader::onChanges(StoreRows rows)
{
    if (rows.position_.era_ < position_.era_)
        return outdated();
    if (rows.position_.era_ > position_.era_) {
        startOver();
        return TableNews();
    }
    std::erase_if(rows.rows_,
                  [this](const StoreRow &row) { return row.version_ <= position_.version_; });
    position_ = std::max(position_, rows.position_);
    if (rows.rows_.empty())
        return TableNews();
    return TableNews{TableContent::Changes, std::move(rows.rows_)};
}

} // namespace foxtailturn::gateway
