#include "base/json_members.h"

#include <utility>

namespace foxtailturn {

// Writes what the parser reads to the text of the member that it belongs to.
class JsonMembers::Reader final : public nlohmann::json_sax<Json>
{
public:
    explicit Reader(JsonMembers &members)
        : members_(members)
        , out_(&members.otherText_)
    { }

    bool null() override { return scalar(Json(), "null"); }
    bool boolean(bool value) override { return scalar(value, value ? "true" : "false"); }
    bool number_integer(number_integer_t value) override
    {
        return scalar(value, std::to_string(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return scalar(value, std::to_string(value));
    }
    bool number_float(number_float_t value, const string_t &text) override
    {
        return scalar(value, text);
    }
    bool string(string_t &value) override
    {
        const Json json(std::move(value));
        return scalar(json, json.dump());
    }
    bool binary(binary_t &) override { return false; } // not in JSON text

    bool start_object(std::size_t) override
    {
        if (depth_++ == 0)
            return true;
        return begin(Json::object(), '{');
    }
    bool end_object() override { return --depth_ == 0 || end('}'); }
    bool start_array(std::size_t) override { return depth_++ > 0 && begin(Json::array(), '['); }
    bool end_array() override
    {
        --depth_;
        return end(']');
    }

    bool key(string_t &name) override
    {
        if (depth_ == 1) {
            const auto named = members_.members_.find(name);
            member_ = named == members_.members_.end() ? nullptr : &named->second;
            out_ = &members_.otherText_;
            if (member_ != nullptr) {
                member_->isPresent_ = true;
                member_->text_.clear();
                out_ = &member_->text_;
                return true;
            }
        }
        if (isKept()) {
            separate();
            *out_ += Json(name).dump();
            *out_ += ':';
        }
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const Json::exception &) override
    {
        return false;
    }

private:
    [[nodiscard]] bool isKept() const
    {
        return member_ != nullptr || members_.others_ == Others::Keep;
    }

    // A comma goes behind everything that ends a value.
    void separate()
    {
        constexpr std::string_view kOpen = "{[:";
        if (!out_->empty() && kOpen.find(out_->back()) == std::string_view::npos)
            *out_ += ',';
    }

    void setValue(const Json &value)
    {
        if (member_ != nullptr && depth_ == 1)
            member_->value_ = value;
    }

    bool scalar(const Json &value, std::string_view text)
    {
        if (depth_ == 0)
            return false;
        setValue(value);
        if (isKept()) {
            separate();
            *out_ += text;
        }
        return true;
    }

    // Precondition: depth_ counts the container already.
    bool begin(const Json &empty, char bracket)
    {
        if (depth_ > kMaxDepth)
            return false;
        if (member_ != nullptr && depth_ == 2)
            member_->value_ = empty;
        if (isKept()) {
            separate();
            *out_ += bracket;
        }
        return true;
    }

    bool end(char bracket)
    {
        if (isKept())
            *out_ += bracket;
        return true;
    }

    JsonMembers &members_;
    std::string *out_;
    Member *member_ = nullptr; // the named one that is being read
    int depth_ = 0;
};

JsonMembers::JsonMembers(const std::vector<std::string> &names, Others others)
    : others_(others)
{
    for (const std::string &name : names)
        members_[name];
}

bool JsonMembers::read(std::string_view text)
{
    Reader reader(*this);
    return Json::sax_parse(text, &reader);
}

const Json *JsonMembers::find(std::string_view name) const
{
    const auto member = members_.find(name);
    return member == members_.end() || !member->second.isPresent_ ? nullptr
                                                                  : &member->second.value_;
}

void JsonMembers::set(const std::string &name, const Json &value)
{
    members_[name] = {true, value, value.dump()};
}

std::string JsonMembers::text() const
{
    std::string text = "{";
    text.reserve(otherText_.size() + 2);
    text += otherText_;
    for (const auto &[name, member] : members_) {
        if (!member.isPresent_)
            continue;
        if (text.size() > 1)
            text += ',';
        text += Json(name).dump();
        text += ':';
        text += member.text_;
    }
    text += '}';
    return text;
}

} // namespace foxtailturn
