#pragma once

// Reads and changes members of a JSON object from outside without building its tree, which takes
// many times the memory of a text of small values.
//
//     JsonMembers members({"model", "stream"});
//     if (!members.read(text))
//         return refuse("not a JSON object");
//     const Json *model = members.find("model");
//     members.set("model", "a@3");
//     const std::string changed = members.text();

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace foxtailturn {

// Not thread-safe.
class JsonMembers
{
public:
    enum class Others { Keep, Drop };

    // names: the members that can be read and changed. The others are kept as they are, or dropped.
    explicit JsonMembers(const std::vector<std::string> &names, Others others = Others::Keep);

    // Reads an object. Returns false for any other text, and for one that is nested deeper than
    // kMaxDepth or holds a number out of range. Precondition: called once.
    [[nodiscard]] bool read(std::string_view text);

    // Returns a member; null if it is missing. Objects and arrays are returned without their
    // content. Of several members of the same name the last one counts.
    [[nodiscard]] const Json *find(std::string_view name) const;

    // Sets one of the named members.
    void set(const std::string &name, const Json &value);

    // Returns the object as text, the named members last and each once.
    [[nodiscard]] std::string text() const;

    static constexpr int kMaxDepth = 100;

private:
    class Reader;

    struct Member
    {
        bool isPresent_ = false;
        Json value_;
        std::string text_;
    };

    std::map<std::string, Member, std::less<>> members_;
    Others others_;
    std::string otherText_; // the other members with commas between them
};

} // namespace foxtailturn
