#include "config/renderer.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "config/source_document.h"
#include "config/source_object.h"
#include "config/template.h"

namespace foxtailturn {

namespace {

// Bounds the memory that one line of a file can ask for.
constexpr std::int64_t kMaxRangeSize = 100'000;

const Scope kNoScope;

// Renders one document.
class Renderer
{
public:
    explicit Renderer(const SourceDocument &document)
        : document_(document)
    { }

    RenderResult run();

private:
    using ItemReader = void (Renderer::*)(SourceObject &object, const Scope &scope);

    void readSchemes(SourceObject &root);
    void readTemplates(SourceObject &root);
    void readInstance(const Json &json, const Place &place);
    void renderTemplate(const Template &declared, const Scope &scope);

    // Reads each item of the list, and each number of its range, by reader.
    void readList(SourceObject &parent, const std::string &field, const Scope &scope,
                  ItemReader reader);
    void readItem(const Json &json, const Place &place, const Scope &scope, ItemReader reader);
    void readRange(const Json &json, const Place &place, const Scope &scope, ItemReader reader);

    void readTargetGroup(SourceObject &object, const Scope &scope);
    void readWorkspace(SourceObject &object, const Scope &scope);
    void readKey(SourceObject &object, const Scope &scope);
    void readRoute(SourceObject &object, const Scope &scope);
    void readAdapter(SourceObject &object, const Scope &scope);

    Names readNames(SourceObject &object, const Scope &scope);
    template <typename T>
    T readChoice(SourceObject &object, const std::string &field, std::string_view (*nameOf)(T),
                 T first, T second);
    void addLines(std::vector<Problem> &problems) const;

    const SourceDocument &document_;
    ProblemList problems_;
    std::map<std::string, Template> templates_;
    std::string workspace_; // id of the instance that is being rendered; empty outside
    ConfigurationContent content_;
    ContentPlaces places_;
};

RenderResult Renderer::run()
{
    for (const Problem &problem : document_.repeatedFields_)
        problems_.add(problem);
    SourceObject root(document_.json_, Place{document_.file_, 0, "", ""}, kNoScope, problems_);
    readSchemes(root);
    readList(root, "targetGroups", kNoScope, &Renderer::readTargetGroup);
    readTemplates(root);
    std::size_t index = 0;
    for (const Json &json : root.list("workspaces"))
        readInstance(json, root.place("workspaces", index++));
    readList(root, "routes", kNoScope, &Renderer::readRoute);
    if (root.has("adapters"))
        readList(root, "adapters", kNoScope, &Renderer::readAdapter);
    root.refuseUnknown();

    std::vector<Problem> problems = problems_.items();
    if (problems.empty()) {
        // Instances of a template repeat a problem of the template; one report is enough.
        ProblemList checked;
        for (Problem &problem : checkContent(content_, places_))
            checked.add(std::move(problem));
        problems = checked.items();
    }
    addLines(problems);
    sortContent(content_);
    return {std::move(content_), std::move(problems)};
}

void Renderer::readSchemes(SourceObject &root)
{
    std::vector<std::string> schemes = root.strings("schemes");
    if (schemes.size() != kSchemeCount) {
        root.fail("schemes", concat("must be a list of ", kSchemeCount, " strings"));
        return;
    }
    for (std::size_t i = 0; i < kSchemeCount; ++i) {
        if (std::count(schemes.begin(), schemes.end(), schemes[i]) > 1)
            root.fail(concat("schemes[", i, "]"), concat("'", schemes[i], "' is given twice"));
    }
    std::move(schemes.begin(), schemes.end(), content_.schemes_.begin());
}

void Renderer::readTemplates(SourceObject &root)
{
    for (const auto &item : root.object("templates").items()) {
        Place place = root.place("templates");
        place.field_ += concat(".", item.key());
        templates_.emplace(item.key(), readTemplate(item.value(), place, problems_));
    }
}

void Renderer::readInstance(const Json &json, const Place &place)
{
    SourceObject object(json, place, kNoScope, problems_);
    const std::string name = object.string("template");
    const Json &values = object.object("parameters");
    object.refuseUnknown();
    const auto declared = templates_.find(name);
    if (declared == templates_.end()) {
        object.fail("template", concat("'", name, "' is not a template"));
        return;
    }
    std::optional<Scope> scope =
        bindParameters(declared->second, values, object.place("parameters"), problems_);
    if (!scope)
        return;
    scope->context_ = concat(place.field_, " at line ", document_.lineOf(place.field_));
    renderTemplate(declared->second, *scope);
}

void Renderer::renderTemplate(const Template &declared, const Scope &scope)
{
    SourceObject object(*declared.json_, declared.place_, scope, problems_);
    static_cast<void>(object.raw("parameters"));
    readItem(object.object("workspace"), object.place("workspace"), scope,
             &Renderer::readWorkspace);
    for (const auto &[field, reader] :
         {std::pair<const char *, ItemReader>{"keys", &Renderer::readKey},
          {"routes", &Renderer::readRoute},
          {"adapters", &Renderer::readAdapter}}) {
        if (object.has(field))
            readList(object, field, scope, reader);
    }
    object.refuseUnknown();
    workspace_.clear();
}

void Renderer::readList(SourceObject &parent, const std::string &field, const Scope &scope,
                        ItemReader reader)
{
    std::size_t index = 0;
    for (const Json &json : parent.list(field)) {
        const Place place = parent.place(field, index++);
        if (json.is_object() && json.contains("range"))
            readRange(json, place, scope, reader);
        else
            readItem(json, place, scope, reader);
    }
}

void Renderer::readItem(const Json &json, const Place &place, const Scope &scope, ItemReader reader)
{
    SourceObject object(json, place, scope, problems_);
    static_cast<void>(object.has("range"));
    (this->*reader)(object, scope);
    object.refuseUnknown();
}

void Renderer::readRange(const Json &json, const Place &place, const Scope &scope,
                         ItemReader reader)
{
    SourceObject item(json, place, scope, problems_);
    SourceObject range(item.object("range"), item.place("range"), scope, problems_);
    const std::string variable = range.string("variable");
    const std::int64_t from = range.integer("from");
    const std::int64_t to = range.integer("to");
    range.refuseUnknown();
    if (scope.values_.count(variable) != 0) {
        range.fail("variable", concat("'", variable, "' is already a parameter"));
        return;
    }
    if (from < 0 || to < from || to - from >= kMaxRangeSize) {
        range.fail(
            "to",
            concat("must be at least 'from', and give at most ", kMaxRangeSize, " numbers from 0"));
        return;
    }
    Scope inner = scope;
    for (std::int64_t n = from; n <= to; ++n) {
        inner.values_[variable] = n;
        inner.context_ =
            concat(scope.context_, scope.context_.empty() ? "" : " ", variable, "=", n);
        readItem(json, place, inner, reader);
    }
}

void Renderer::readTargetGroup(SourceObject &object, const Scope &)
{
    TargetGroup group;
    group.name_ = object.string("name");
    group.kind_ = readChoice(object, "kind", routeKindName, RouteKind::Model, RouteKind::Service);
    if (object.has("baseModels"))
        group.baseModels_ = object.strings("baseModels");
    content_.targetGroups_.push_back(std::move(group));
    places_.targetGroups_.push_back(object.place());
}

void Renderer::readWorkspace(SourceObject &object, const Scope &scope)
{
    Workspace workspace;
    workspace.id_ = object.string("id");
    workspace.names_ = readNames(object, scope);
    workspace.rate_ = object.integer("rate");
    workspace.burst_ = object.integer("burst");
    if (object.has("weight"))
        workspace.weight_ = object.integer("weight");
    workspace_ = workspace.id_;
    content_.workspaces_.push_back(std::move(workspace));
    places_.workspaces_.push_back(object.place());
}

void Renderer::readKey(SourceObject &object, const Scope &)
{
    Key key;
    key.id_ = object.string("id");
    key.workspace_ = workspace_;
    key.hash_ = object.string("hash");
    if (object.has("withdrawn"))
        key.withdrawn_ = object.boolean("withdrawn");
    content_.keys_.push_back(std::move(key));
    places_.keys_.push_back(object.place());
}

void Renderer::readRoute(SourceObject &object, const Scope &scope)
{
    Route route;
    route.id_ = object.string("id");
    route.names_ = readNames(object, scope);
    route.kind_ = readChoice(object, "kind", routeKindName, RouteKind::Model, RouteKind::Service);
    route.methods_ = object.strings("methods");
    route.pathPrefix_ = object.string("path");
    if (object.has("open"))
        route.open_ = object.boolean("open");
    route.repeatable_ = object.boolean("repeatable");
    route.targetGroup_ = object.string("targetGroup");
    if (object.has("priority"))
        route.priority_ =
            readChoice(object, "priority", priorityName, PriorityClass::Chat, PriorityClass::Batch);
    if (object.has("maxTokens"))
        route.maxTokens_ = object.integer("maxTokens");
    route.deadlineMs_ = object.integer("deadlineMs");
    content_.routes_.push_back(std::move(route));
    places_.routes_.push_back(object.place());
}

void Renderer::readAdapter(SourceObject &object, const Scope &scope)
{
    AdapterVersion adapter;
    adapter.adapter_ = object.string("id");
    adapter.names_ = readNames(object, scope);
    adapter.baseModel_ = object.string("baseModel");
    if (object.has("owners") || workspace_.empty())
        adapter.owners_ = object.strings("owners");
    else
        adapter.owners_ = {workspace_};
    const std::vector<std::int64_t> versions = object.integers("versions");
    const std::int64_t current = object.integer("current");
    const Json &objectName = object.raw("object");
    if (std::find(versions.begin(), versions.end(), current) == versions.end())
        object.fail("current", concat(current, " is not among the versions"));
    for (const std::int64_t version : versions) {
        Scope inner = scope;
        inner.values_["version"] = version;
        const Json wrapped = {{"object", objectName}};
        adapter.object_ = SourceObject(wrapped, object.place(), inner, problems_).string("object");
        adapter.version_ = version;
        adapter.current_ = version == current;
        content_.adapters_.push_back(adapter);
        places_.adapters_.push_back(object.place());
    }
}

Names Renderer::readNames(SourceObject &object, const Scope &scope)
{
    Names names;
    SourceObject given(object.object("names"), object.place("names"), scope, problems_);
    for (std::size_t i = 0; i < kSchemeCount; ++i) {
        if (given.has(content_.schemes_[i]))
            names[i] = given.string(content_.schemes_[i]);
    }
    given.refuseUnknown();
    return names;
}

template <typename T>
T Renderer::readChoice(SourceObject &object, const std::string &field,
                       std::string_view (*nameOf)(T), T first, T second)
{
    const std::string text = object.string(field);
    if (text == nameOf(first))
        return first;
    if (text != nameOf(second))
        object.fail(field, concat("must be ", nameOf(first), " or ", nameOf(second)));
    return second;
}

void Renderer::addLines(std::vector<Problem> &problems) const
{
    const auto complete = [this](Place &place) {
        place.file_ = document_.file_;
        place.line_ = document_.lineOf(place.field_);
    };
    for (Problem &problem : problems) {
        complete(problem.place_);
        if (problem.other_)
            complete(*problem.other_);
    }
}

// Takes "file:line: text" apart.
Problem syntaxProblem(const Error &error, const std::string &file)
{
    Problem problem{Place{file, 0, "", ""}, error.message_, std::nullopt};
    const std::size_t start = std::min(file.size() + 1, error.message_.size());
    const char *begin = error.message_.data() + start;
    const char *end = error.message_.data() + error.message_.size();
    const auto [last, failure] = std::from_chars(begin, end, problem.place_.line_);
    if (failure == std::errc() && end - last > 2)
        problem.text_ = std::string(last + 2, end);
    return problem;
}

} // namespace

RenderResult renderSource(std::string_view text, const std::string &file)
{
    const Result<SourceDocument> document = parseSource(text, file);
    if (!document)
        return {{}, {syntaxProblem(document.error(), file)}};
    return Renderer(*document).run();
}

} // namespace foxtailturn
