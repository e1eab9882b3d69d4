#include "config/content_json.h"

#include <utility>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kSource = "configuration object";

Json namesJson(const Names &names)
{
    return Json(names);
}

Json toJson(const TargetGroup &group)
{
    return {{"name", group.name_},
            {"kind", routeKindName(group.kind_)},
            {"baseModels", group.baseModels_}};
}

Json toJson(const Workspace &workspace)
{
    return {{"id", workspace.id_},
            {"names", namesJson(workspace.names_)},
            {"rate", workspace.rate_},
            {"burst", workspace.burst_},
            {"weight", workspace.weight_}};
}

Json toJson(const Key &key)
{
    return {{"id", key.id_},
            {"workspace", key.workspace_},
            {"hash", key.hash_},
            {"issued", key.issued_},
            {"withdrawn", key.withdrawn_}};
}

Json toJson(const Route &route)
{
    return {{"id", route.id_},
            {"names", namesJson(route.names_)},
            {"kind", routeKindName(route.kind_)},
            {"methods", route.methods_},
            {"path", route.pathPrefix_},
            {"open", route.open_},
            {"repeatable", route.repeatable_},
            {"targetGroup", route.targetGroup_},
            {"priority", priorityName(route.priority_)},
            {"maxTokens", route.maxTokens_},
            {"deadlineMs", route.deadlineMs_}};
}

Json toJson(const AdapterVersion &adapter)
{
    return {{"id", adapter.adapter_},      {"version", adapter.version_},
            {"current", adapter.current_}, {"baseModel", adapter.baseModel_},
            {"object", adapter.object_},   {"names", namesJson(adapter.names_)},
            {"owners", adapter.owners_}};
}

template <typename T>
Json listJson(const std::vector<T> &items)
{
    Json list = Json::array();
    for (const T &item : items)
        list.push_back(toJson(item));
    return list;
}

std::array<std::string, kSchemeCount> readNames(JsonObject &object, const std::string &field)
{
    std::array<std::string, kSchemeCount> names;
    std::vector<std::string> items = object.strings(field);
    if (items.size() != kSchemeCount) {
        object.fail(field, concat("must be a list of ", kSchemeCount, " strings"));
        return names;
    }
    std::move(items.begin(), items.end(), names.begin());
    return names;
}

// Returns the first value when the text is its name, else the second.
template <typename T>
T readEnum(JsonObject &object, const std::string &field, std::string_view (*nameOf)(T), T first,
           T second)
{
    const std::string text = object.string(field);
    if (text == nameOf(first))
        return first;
    if (text != nameOf(second))
        object.fail(field, concat("must be ", nameOf(first), " or ", nameOf(second)));
    return second;
}

RouteKind readKind(JsonObject &object)
{
    return readEnum(object, "kind", routeKindName, RouteKind::Model, RouteKind::Service);
}

void read(JsonObject &object, TargetGroup &group)
{
    group.name_ = object.string("name");
    group.kind_ = readKind(object);
    group.baseModels_ = object.strings("baseModels");
}

void read(JsonObject &object, Workspace &workspace)
{
    workspace.id_ = object.string("id");
    workspace.names_ = readNames(object, "names");
    workspace.rate_ = object.integer("rate", {});
    workspace.burst_ = object.integer("burst", {});
    workspace.weight_ = object.integer("weight", {});
}

void read(JsonObject &object, Key &key)
{
    key.id_ = object.string("id");
    key.workspace_ = object.string("workspace");
    key.hash_ = object.string("hash");
    key.issued_ = object.boolean("issued");
    key.withdrawn_ = object.boolean("withdrawn");
}

void read(JsonObject &object, Route &route)
{
    route.id_ = object.string("id");
    route.names_ = readNames(object, "names");
    route.kind_ = readKind(object);
    route.methods_ = object.strings("methods");
    route.pathPrefix_ = object.string("path");
    route.open_ = object.boolean("open");
    route.repeatable_ = object.boolean("repeatable");
    route.targetGroup_ = object.string("targetGroup");
    route.priority_ =
        readEnum(object, "priority", priorityName, PriorityClass::Chat, PriorityClass::Batch);
    route.maxTokens_ = object.integer("maxTokens", {});
    route.deadlineMs_ = object.integer("deadlineMs", {});
}

void read(JsonObject &object, AdapterVersion &adapter)
{
    adapter.adapter_ = object.string("id");
    adapter.version_ = object.integer("version", {});
    adapter.current_ = object.boolean("current");
    adapter.baseModel_ = object.string("baseModel");
    adapter.object_ = object.string("object");
    adapter.names_ = readNames(object, "names");
    adapter.owners_ = object.strings("owners");
}

template <typename T>
std::optional<Error> readList(JsonObject &parent, const std::string &field, std::vector<T> &items)
{
    const Json &list = parent.child(field);
    if (!list.is_array()) {
        parent.fail(field, "must be a list");
        return parent.error();
    }
    items.reserve(list.size());
    for (const Json &json : list) {
        JsonObject object(json, concat(parent.fieldPath(field), "[", items.size(), "]"));
        read(object, items.emplace_back());
        object.refuseUnknown();
        if (object.error())
            return object.error();
    }
    return std::nullopt;
}

} // namespace

std::string toCanonicalJson(const ConfigurationContent &content)
{
    const Json json = {{"schemes", namesJson(content.schemes_)},
                       {"targetGroups", listJson(content.targetGroups_)},
                       {"workspaces", listJson(content.workspaces_)},
                       {"keys", listJson(content.keys_)},
                       {"routes", listJson(content.routes_)},
                       {"adapters", listJson(content.adapters_)}};
    return json.dump();
}

Result<ConfigurationContent> parseCanonicalJson(std::string_view text)
{
    Result<Json> json = parseJson(text, kSource);
    if (!json)
        return tl::unexpected(json.error());
    JsonObject object(*json, std::string(kSource));
    ConfigurationContent content;
    content.schemes_ = readNames(object, "schemes");
    std::optional<Error> errors[] = {
        readList(object, "targetGroups", content.targetGroups_),
        readList(object, "workspaces", content.workspaces_),
        readList(object, "keys", content.keys_),
        readList(object, "routes", content.routes_),
        readList(object, "adapters", content.adapters_),
    };
    object.refuseUnknown();
    if (object.error())
        return tl::unexpected(*object.error());
    for (std::optional<Error> &error : errors) {
        if (error)
            return tl::unexpected(std::move(*error));
    }
    return content;
}

Result<std::shared_ptr<const Configuration>>
readConfiguration(std::uint64_t revision, std::string_view digest, std::string_view canonicalJson)
{
    if (contentDigest(canonicalJson) != digest)
        return notRun(ErrorCode::InvalidConfiguration,
                      concat(kSource, " of revision ", revision, " has another digest"));
    Result<ConfigurationContent> content = parseCanonicalJson(canonicalJson);
    if (!content)
        return tl::unexpected(content.error());
    return Configuration::create(revision, std::move(*content));
}

std::string contentDigest(std::string_view canonicalJson)
{
    return sha256Hex(canonicalJson);
}

} // namespace foxtailturn
