#pragma once

// An immutable, searchable configuration.
//
//     const std::shared_ptr<const Configuration> configuration = follower.snapshot();
//     Result<const Route *> route = configuration->resolveRoute("POST", "/v1/completions");
//     Result<KeyMatch> caller = configuration->findKey(secret);
//     Result<const AdapterVersion *> adapter =
//             configuration->resolveModel(caller->workspace_->id_, "cond-report-17@3");
//
// Returned pointers and references stay valid as long as the Configuration (or one made from it by
// withWithdrawals) is held. All methods are const and thread-safe.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/content.h"

namespace foxtailturn {

// The key that a caller presented and the workspace it belongs to.
struct KeyMatch
{
    const Key *key_ = nullptr;
    const Workspace *workspace_ = nullptr;

    bool operator==(const KeyMatch &) const = default;
};

class Configuration
{
public:
    // Sorts and checks the content and builds the look-up tables. Error: InvalidConfiguration,
    // naming the places that are wrong or clash.
    [[nodiscard]] static Result<std::shared_ptr<const Configuration>>
    create(std::uint64_t revision, ConfigurationContent content);

    // Returns the same revision with further keys withdrawn; the tables are shared. Ids of keys
    // that the content doesn't have are kept too.
    [[nodiscard]] std::shared_ptr<const Configuration>
    withWithdrawals(const std::set<std::string> &keyIds) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    // Returns the content as published, in canonical order, without the additional withdrawals.
    [[nodiscard]] const ConfigurationContent &content() const;

    // Returns the key of a presented secret. Errors: Unauthenticated for an unknown secret,
    // KeyWithdrawn for a withdrawn one. Both NotRun.
    [[nodiscard]] Result<KeyMatch> findKey(std::string_view secret) const;

    // Returns whether requests of this key may go on: it exists and isn't withdrawn.
    [[nodiscard]] bool isKeyActive(std::string_view keyId) const;

    // Returns whether the content itself holds this key as withdrawn.
    [[nodiscard]] bool holdsWithdrawal(std::string_view keyId) const;

    // Returns the adapter version for an id, or a name under any scheme, with an optional version
    // ("name@3"); without one, the current version. Errors: ModelNotFound, Forbidden when the
    // workspace doesn't own the adapter. Both NotRun.
    [[nodiscard]] Result<const AdapterVersion *> resolveModel(std::string_view workspaceId,
                                                              std::string_view name) const;

    // Returns the route with the longest matching prefix among those that allow the method. path
    // has no query. Errors: RouteNotFound; BadRequest for paths that a target could read as a
    // different path, such as those with dot segments or encoded slashes. Both NotRun.
    [[nodiscard]] Result<const Route *> resolveRoute(std::string_view method,
                                                     std::string_view path) const;

    // Returns the current versions of all adapters of a workspace, by adapter id.
    [[nodiscard]] const std::vector<const AdapterVersion *> &
    modelsOf(std::string_view workspaceId) const;

    // Return the identity of an id, or of a name under any scheme; null when there is none.
    [[nodiscard]] const Workspace *findWorkspace(std::string_view name) const;
    [[nodiscard]] const Route *findRoute(std::string_view name) const;

private:
    struct Tables;

    Configuration(std::uint64_t revision, std::shared_ptr<const Tables> tables,
                  std::set<std::string, std::less<>> withdrawn);

    std::uint64_t revision_;
    std::shared_ptr<const Tables> tables_;
    std::set<std::string, std::less<>> withdrawn_; // in addition to those of the content
};

} // namespace foxtailturn
