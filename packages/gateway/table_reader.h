#pragma once

// What is known of one table of the store, and what is read next. No I/O.
//
//     TableReader reader;
//     if (reader.isReading())
//         news = reader.onPage(readPage(reader.nextKey()));
//     else
//         news = reader.onChanges(readChanges(reader.position().version_));
//
// A table is read page by page, while others write to it, so the pages may show different versions.
// The changes since the version of the first page make the read whole: they hold each row that was
// written or removed meanwhile. So a read ends however much is written. A store that has come back
// from a copy has begun an era: nothing that was read before tells what it holds, so the table is
// read anew.

#include <string>
#include <vector>

#include "base/error.h"
#include "base/store_rows.h"

namespace foxtailturn::gateway {

enum class TableContent {
    Nothing, // the read goes on
    Changes, // rows that have changed, including removed ones
    Snapshot, // the whole table; rows that have changed during the read may be missing or
              // outdated, and follow as changes
    Copy, // the same, the first one of an era: rows may be older than what was known before
};

// What an answer has brought.
struct TableNews
{
    TableContent content_ = TableContent::Nothing;
    std::vector<StoreRow> rows_ = {};

    bool operator==(const TableNews &) const = default;
};

// Not thread-safe.
class TableReader
{
public:
    // Returns whether a page of the whole table is read next, and from which key; otherwise the
    // changes behind position() are.
    [[nodiscard]] bool isReading() const { return isReading_; }
    [[nodiscard]] std::string nextKey() const;

    // All changes up to here were handed on. Never goes back.
    [[nodiscard]] StorePosition position() const { return position_; }

    // Each takes an answer to the call that was next. Error: StoreUnavailable for one that is older
    // than what was read before, which changes nothing.
    [[nodiscard]] Result<TableNews> onPage(StoreRows rows);
    [[nodiscard]] Result<TableNews> onChanges(StoreRows rows);

    // The store no longer has, or does not have, the changes behind position().
    void onHistoryGone() { startOver(); }

    bool operator==(const TableReader &) const = default;

private:
    void startOver();

    StorePosition position_;
    bool isLoaded_ = false; // the whole table was read at least once
    bool isReading_ = true;
    std::vector<StoreRow> pages_; // of the read in progress
    StorePosition firstPage_; // of the read in progress
};

} // namespace foxtailturn::gateway
