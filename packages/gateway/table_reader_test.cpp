#include "gateway/table_reader.h"

#include <map>
#include <optional>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kPageRows = 1; // of the model store, so that reads have several pages

struct ModelAnswer
{
    bool isPage_ = false;
    bool isGone_ = false;
    StoreRows rows_;
};

// A store of one table, as the platform's pages describe it.
class ModelStore
{
public:
    void write(const std::string &key) { add({"t", "", key, std::to_string(++values_)}); }

    void remove(const std::string &key) { add({"t", "", key, "", 0, true}); }

    // Comes back from a copy that lacks the last changes.
    void restore(std::size_t changes)
    {
        changes_.resize(changes_.size() - std::min(changes, changes_.size()));
        ++era_;
    }

    [[nodiscard]] std::map<std::string, std::string> rows() const
    {
        std::map<std::string, std::string> rows;
        for (const StoreRow &change : changes_) {
            if (change.isRemoved_)
                rows.erase(change.key_);
            else
                rows[change.key_] = change.value_;
        }
        return rows;
    }

    [[nodiscard]] ModelAnswer answer(const TableReader &reader) const
    {
        return reader.isReading() ? page(reader.nextKey()) : changes(reader.position().version_);
    }

private:
    void add(StoreRow row)
    {
        row.version_ = static_cast<std::int64_t>(changes_.size()) + 1;
        changes_.push_back(std::move(row));
    }

    [[nodiscard]] StoreRows emptyAnswer() const
    {
        StoreRows rows;
        rows.position_ = {era_, static_cast<std::int64_t>(changes_.size())};
        return rows;
    }

    [[nodiscard]] ModelAnswer page(const std::string &from) const
    {
        ModelAnswer answer{true, false, emptyAnswer()};
        for (const auto &[key, value] : rows()) {
            if (key < from)
                continue;
            if (answer.rows_.rows_.size() == kPageRows) {
                answer.rows_.isTruncated_ = true;
                break;
            }
            answer.rows_.rows_.push_back({"t", "", key, value, versionOf(key)});
        }
        return answer;
    }

    [[nodiscard]] ModelAnswer changes(std::int64_t after) const
    {
        ModelAnswer answer{false, after > static_cast<std::int64_t>(changes_.size()),
                           emptyAnswer()};
        for (const StoreRow &change : changes_) {
            if (change.version_ > after)
                answer.rows_.rows_.push_back(change);
        }
        return answer;
    }

    [[nodiscard]] std::int64_t versionOf(const std::string &key) const
    {
        std::int64_t version = 0;
        for (const StoreRow &change : changes_) {
            if (change.key_ == key)
                version = change.version_;
        }
        return version;
    }

    std::vector<StoreRow> changes_;
    std::int64_t era_ = 1;
    int values_ = 0;
};

// A process that follows the table.
struct Follower
{
    void take(const ModelAnswer &answer)
    {
        if (answer.isGone_) {
            reader_.onHistoryGone();
            return;
        }
        const StorePosition before = reader_.position();
        const Result<TableNews> news =
            answer.isPage_ ? reader_.onPage(answer.rows_) : reader_.onChanges(answer.rows_);
        hasGoneBack_ = hasGoneBack_ || reader_.position() < before;
        if (!news || news->content_ == TableContent::Nothing)
            return;
        if (news->content_ != TableContent::Changes)
            rows_.clear();
        for (const StoreRow &row : news->rows_) {
            if (row.isRemoved_)
                rows_.erase(row.key_);
            else
                rows_[row.key_] = row.value_;
        }
    }

    TableReader reader_;
    std::map<std::string, std::string> rows_;
    bool hasGoneBack_ = false;
};

enum class Op {
    WriteA,
    WriteB,
    RemoveA,
    Ask, // the store answers
    Take, // the answer arrives
    Lose, // the answer is lost
    RestoreOne,
    RestoreThree,
    Restart, // of the process
};
constexpr int kOps = 9;

struct Play
{
    ModelStore store_;
    Follower follower_;
    std::optional<ModelAnswer> answer_;

    void apply(Op op)
    {
        switch (op) {
        case Op::WriteA:
            store_.write("a");
            break;
        case Op::WriteB:
            store_.write("b");
            break;
        case Op::RemoveA:
            store_.remove("a");
            break;
        case Op::Ask:
            answer_ = answer_ ? answer_ : store_.answer(follower_.reader_);
            break;
        case Op::Take:
            if (answer_)
                follower_.take(*answer_);
            answer_.reset();
            break;
        case Op::Lose:
            answer_.reset();
            break;
        case Op::RestoreOne:
            store_.restore(1);
            break;
        case Op::RestoreThree:
            store_.restore(3);
            break;
        case Op::Restart:
            follower_ = Follower();
            answer_.reset();
            break;
        }
    }

    // Returns whether the process knows the rows a few answers later.
    [[nodiscard]] bool catchesUp()
    {
        constexpr int kAnswers = 8; // one that is late, 410, three pages, changes
        for (int i = 0; i < kAnswers; ++i) {
            apply(Op::Ask);
            apply(Op::Take);
        }
        return follower_.rows_ == store_.rows() && !follower_.hasGoneBack_;
    }
};

std::uint64_t faultsBehind(const Play &play, int length, std::uint64_t &sequences)
{
    ++sequences;
    std::uint64_t faults = Play(play).catchesUp() ? 0 : 1;
    for (int op = 0; length > 0 && op < kOps; ++op) {
        Play next = play;
        next.apply(static_cast<Op>(op));
        faults += faultsBehind(next, length - 1, sequences);
    }
    return faults;
}

} // namespace

// Guards against changes that a process never learns, since the store has come back from a copy and
// gives versions out again.
TEST_CASE("a process knows the table behind every sequence of writes, answers and restores")
{
    constexpr int kLength = 6;
    std::uint64_t sequences = 0;
    // From a process that has just started, and from one that knows a table of several writes.
    CHECK(faultsBehind(Play(), kLength, sequences) == 0);
    Play known;
    for (const Op op : {Op::WriteA, Op::WriteB, Op::WriteA, Op::WriteB})
        known.apply(op);
    CHECK(known.catchesUp());
    CHECK(faultsBehind(known, kLength, sequences) == 0);
    MESSAGE("sequences: " << sequences);
    CHECK(sequences > 1'000'000);
}

// Guards against an older table that is taken for news: by an answer that comes late, or one from
// before a restore.
TEST_CASE("an answer that is older than what is known changes nothing")
{
    const auto rowsAt = [](std::int64_t era, std::int64_t version) {
        StoreRows rows;
        rows.position_ = {era, version};
        rows.rows_ = {{"t", "", "k", "v", version}};
        return rows;
    };
    TableReader reader;
    REQUIRE(reader.onPage(rowsAt(2, 7)));
    CHECK(reader.position() == StorePosition{2, 7});
    const TableReader known = reader;
    CHECK_FALSE(reader.onChanges(rowsAt(1, 9)));
    CHECK(reader == known);
    reader.onHistoryGone();
    CHECK_FALSE(reader.onPage(rowsAt(2, 6)));
    CHECK_FALSE(reader.onPage(rowsAt(1, 9)));
    CHECK(reader.isReading());
    const Result<TableNews> news = reader.onPage(rowsAt(3, 4));
    REQUIRE(news);
    CHECK(news->content_ == TableContent::Copy);
}

} // namespace foxtailturn::gateway
