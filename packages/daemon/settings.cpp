#include "daemon/settings.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <asio/ip/address.hpp>
#include <unistd.h>

#include "base/json.h"

namespace foxtailturn {

namespace {

constexpr int kMaxPort = 65'535;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxCount = 100'000;
constexpr std::size_t kMinTokenBytes = 8;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;
constexpr std::int64_t kMaxBodyBytes = 16'777'216; // a message to an agent holds twice as much
constexpr std::size_t kMegabyte = 1'048'576;

Result<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return notRun(ErrorCode::InvalidSettings, concat(path, ": can not be read"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Reads one settings object field by field; the first problem is kept.
class SettingsReader
{
public:
    SettingsReader(const Json &json, const std::string &source)
        : object_(json, source)
    { }

    Settings read()
    {
        Settings settings;
        settings.role_ = choice<Role>("role", {{"entry", Role::Entry}, {"agent", Role::Agent}});
        settings.name_ = name(object_, "name");
        settings.dataCentre_ = name(object_, "data_centre");
        settings.peerListen_ = endpoint(object_, "peer_listen");
        settings.adminListen_ = endpoint(object_, "admin_listen");
        settings.adminToken_ = object_.string("admin_token");
        if (settings.adminToken_.size() < kMinTokenBytes)
            object_.fail("admin_token", concat("must have at least ", kMinTokenBytes, " bytes"));
        settings.platform_ = endpoint(object_, "platform");
        settings.drainGraceMs_ = milliseconds("drain_grace_ms", settings.drainGraceMs_);
        settings.stopTimeoutMs_ = milliseconds("stop_timeout_ms", settings.stopTimeoutMs_);
        settings.leaseMs_ = object_.integer("lease_ms", {1'000, 120'000}, settings.leaseMs_);
        settings.memoryMb_ = object_.integer("memory_mb", {0, kMaxMemoryMb}, settings.memoryMb_);
        readLog(settings);
        readSecurity(settings);
        if (settings.role_ == Role::Entry)
            readEntry(settings);
        else
            readTarget(settings);
        object_.refuseUnknown();
        return settings;
    }

    [[nodiscard]] const std::optional<Error> &error() const { return object_.error(); }

private:
    template <typename T>
    T choice(const std::string &field, const std::map<std::string, T> &choices)
    {
        const auto it = choices.find(object_.string(field));
        if (it != choices.end())
            return it->second;
        std::string known;
        for (const auto &[text, value] : choices)
            known += (known.empty() ? "" : ", ") + text;
        object_.fail(field, "must be one of: " + known);
        return choices.begin()->second;
    }

    static std::string name(JsonObject &object, const std::string &field)
    {
        const std::string text = object.string(field);
        const bool isPlain = text.find_first_of("/ \t\r\n") == std::string::npos;
        if (text.empty() || !isPlain)
            object.fail(field, "must be a name without spaces and slashes");
        return text;
    }

    static Endpoint endpoint(JsonObject &object, const std::string &field)
    {
        Result<Endpoint> endpoint = Endpoint::parse(object.string(field));
        if (!endpoint) {
            object.fail(field, endpoint.error().message_);
            return {};
        }
        return *endpoint;
    }

    std::int64_t milliseconds(const std::string &field, std::int64_t fallback)
    {
        return object_.integer(field, {0, kMaxTimeoutMs}, fallback);
    }

    void readLog(Settings &settings)
    {
        const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::Debug},
                                                        {"info", LogLevel::Info},
                                                        {"warn", LogLevel::Warn},
                                                        {"error", LogLevel::Error}};
        const auto level = levels.find(object_.string("log_level", "info"));
        if (level == levels.end())
            object_.fail("log_level", "must be one of: debug, info, warn, error");
        else
            settings.logLevel_ = level->second;
        const std::string layout = object_.string("log_layout", "text");
        if (layout != "text" && layout != "json")
            object_.fail("log_layout", "must be one of: text, json");
        settings.logLayout_ = layout == "json" ? LogLayout::Json : LogLayout::Text;
    }

    void readSecurity(Settings &settings)
    {
        const bool insecure = object_.boolean("insecure", false);
        const Json &tls = object_.child("tls");
        if (tls.is_null()) {
            if (!insecure)
                object_.fail("tls", "is missing; set insecure to true to run without TLS");
            return;
        }
        if (insecure)
            object_.fail("insecure", "must not be true together with tls");
        JsonObject files(tls, object_.fieldPath("tls"));
        settings.security_.certificate_ = pem(files, "certificate_file");
        settings.security_.privateKey_ = pem(files, "private_key_file");
        settings.security_.authorities_ = pem(files, "authorities_file");
        files.refuseUnknown();
        if (files.error())
            object_.fail("tls", files.error()->message_);
    }

    static std::string pem(JsonObject &files, const std::string &field)
    {
        const Result<std::string> text = readFile(files.string(field));
        if (text && !text->empty())
            return *text;
        files.fail(field, "can not be read");
        return {};
    }

    void readEntry(Settings &settings)
    {
        settings.listen_ = endpoint(object_, "listen");
        settings.maxConnections_ =
            object_.integer("max_connections", {1, 10'000}, settings.maxConnections_);
        settings.maxBodyBytes_ =
            object_.integer("max_body_bytes", {1, kMaxBodyBytes}, settings.maxBodyBytes_);
    }

    void readTarget(Settings &settings)
    {
        TargetSettings &target = settings.target_;
        JsonObject object(object_.child("target"), object_.fieldPath("target"));
        target.name_ = name(object, "name");
        target.group_ = name(object, "group");
        const std::string kind = object.string("kind");
        if (kind != "engine" && kind != "service")
            object.fail("kind", "must be one of: engine, service");
        target.kind_ = kind == "service" ? TargetKind::Service : TargetKind::Engine;
        target.address_ = endpoint(object, "address");
        target.slots_ = object.integer("slots", {1, kMaxCount}, target.slots_);
        target.maxRunning_ = object.integer("max_running", {1, 1'000}, target.maxRunning_);
        target.maxWaiting_ = object.integer("max_waiting", {1, 1'000}, target.maxWaiting_);
        target.maxLoads_ = object.integer("max_loads", {1, 64}, target.maxLoads_);
        object.refuseUnknown();
        if (object.error())
            object_.fail("target", object.error()->message_);
    }

    JsonObject object_;
};

} // namespace

std::string Endpoint::text() const
{
    return concat(host_, ":", port_);
}

Result<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    endpoint.host_ = text.substr(0, colon);
    asio::error_code notAddress;
    asio::ip::make_address(endpoint.host_, notAddress);
    const char *begin = colon == std::string::npos ? nullptr : text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const bool isNumber =
        begin != nullptr && std::from_chars(begin, end, endpoint.port_).ptr == end;
    if (notAddress || !isNumber || endpoint.port_ < 1 || endpoint.port_ > kMaxPort)
        return notRun(ErrorCode::InvalidSettings,
                      "must be an IP address and a port, as 10.0.0.7:8080");
    return endpoint;
}

std::size_t Settings::memoryBytes() const
{
    if (memoryMb_ > 0)
        return static_cast<std::size_t>(memoryMb_) * kMegabyte;
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES))
        * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

Result<Settings> Settings::parse(const std::string &text, const std::string &source)
{
    const Result<Json> json = parseJson(text, source);
    if (!json)
        return notRun(ErrorCode::InvalidSettings, json.error().message_);
    SettingsReader reader(*json, source);
    Settings settings = reader.read();
    if (reader.error())
        return notRun(ErrorCode::InvalidSettings, reader.error()->message_);
    return settings;
}

Result<Settings> Settings::read(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    return parse(*text, path);
}

} // namespace foxtailturn
