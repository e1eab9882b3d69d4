#pragma once

// A codec for tests of connections.

#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Decodes the field "Id" of a response and encodes the head of any call alike; the other methods
// return nothing.
class PlainCodec : public PlatformCodec
{
public:
    Result<CallerRequest> decodeRequest(const MessageHead &) const override { return {}; }
    std::string refusal(const Refusal &) const override { return ""; }
    std::string readyTarget() const override { return "/"; }
    std::string targetHead(const MessageHead &, const TargetCall &, std::size_t) const override
    {
        return "";
    }
    TargetReply decodeReply(const MessageHead &head) const override
    {
        TargetReply reply;
        if (const std::string *id = head.find("Id"))
            reply.requestId_ = *id;
        return reply;
    }
    HttpCall reportCall() const override { return {}; }
    Result<EngineReport> decodeReport(std::string_view) const override { return {}; }
    HttpCall orderCall(const EngineOrder &) const override { return {}; }
    HttpCall readCall(const std::string &, const std::string &, const std::string &) const override
    {
        return {};
    }
    HttpCall followCall(const std::string &, std::int64_t, Duration) const override { return {}; }
    HttpCall writeCall(const StoreWrite &) const override { return {}; }
    Result<StoreRows> decodeRows(std::string_view, std::int64_t) const override { return {}; }
    std::string callHead(const HttpCall &, const std::string &) const override
    {
        return "GET / HTTP/1.1\r\n\r\n";
    }
    std::string operatorTable() const override { return "o"; }
    std::string targetTable() const override { return "t"; }
    std::optional<ServingConfig> decodeConfig(const StoreRow &) const override { return {}; }
    std::optional<AdapterVersion> decodeAdapterVersion(const StoreRow &) const override
    {
        return {};
    }
    std::optional<TargetRecord> decodeTarget(const StoreRow &) const override { return {}; }
    std::optional<std::string> evacuatedDataCentre(const StoreRow &) const override { return {}; }
};

} // namespace foxtailturn::gateway
