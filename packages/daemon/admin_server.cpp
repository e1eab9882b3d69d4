#include "daemon/admin_server.h"

#include <thread>
#include <utility>

#include <httplib.h>
#include <openssl/crypto.h>

#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

// Health checks, scrapes and a few operators at the same time.
constexpr std::size_t kThreads = 8;
constexpr auto kReadTimeout = std::chrono::seconds(2);
constexpr const char *kJsonType = "application/json";
constexpr const char *kPrometheusType = "text/plain; version=0.0.4";

bool isEqualInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

class AdminServer::Impl
{
public:
    Impl(Endpoint listen, std::string token, AdminHandlers handlers)
        : listen_(std::move(listen))
        , token_(std::move(token))
        , handlers_(std::move(handlers))
    {
        server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
        server_.set_read_timeout(kReadTimeout);
        server_.set_keep_alive_max_count(1);
        addHealth();
        addState();
        addOrders();
    }

    ~Impl() { stop(); }

    Result<void> start()
    {
        if (!server_.bind_to_port(listen_.host_, listen_.port_))
            return notRun(ErrorCode::InvalidSettings, concat("can not listen on ", listen_.text()));
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return {};
    }

    void stop()
    {
        server_.stop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    // Wraps a handler so that it runs only with the token.
    Handler guarded(Handler handler)
    {
        return [this, handler = std::move(handler)](const httplib::Request &request,
                                                    httplib::Response &response) {
            if (!isEqualInConstantTime(request.get_header_value("x-admin-token"), token_)) {
                response.status = 401;
                response.set_content(R"({"error":"x-admin-token is missing or wrong"})", kJsonType);
                return;
            }
            handler(request, response);
        };
    }

    void addHealth()
    {
        server_.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
            response.set_content("ok\n", "text/plain");
        });
        server_.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
            const bool isReady = handlers_.isReady_();
            response.status = isReady ? 200 : 503;
            response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
        });
    }

    void addState()
    {
        server_.Get("/metrics", guarded([this](const auto &, httplib::Response &response) {
                        response.set_content(handlers_.metrics_(), kPrometheusType);
                    }));
        server_.Get("/state", guarded([this](const auto &, httplib::Response &response) {
                        response.set_content(handlers_.state_(), kJsonType);
                    }));
    }

    void addOrders()
    {
        server_.Post("/drain", guarded([this](const auto &, httplib::Response &response) {
                         handlers_.drain_();
                         response.set_content("{}", kJsonType);
                     }));
        server_.Post("/withdraw",
                     guarded([this](const httplib::Request &request, httplib::Response &response) {
                         withdraw(request, response);
                     }));
    }

    void withdraw(const httplib::Request &request, httplib::Response &response)
    {
        const Json body = parseUntrustedJson(request.body);
        const Json keys = body.is_object() ? body.value("keys", Json()) : Json();
        std::vector<std::string> ids;
        for (const Json &key : keys) {
            if (key.is_string())
                ids.push_back(key.get<std::string>());
        }
        if (!keys.is_array() || ids.size() != keys.size() || ids.empty()) {
            response.status = 400;
            response.set_content(R"({"error":"body must be {\"keys\": [id, ...]}"})", kJsonType);
            return;
        }
        handlers_.withdraw_(ids);
        response.set_content("{}", kJsonType);
    }

    Endpoint listen_;
    std::string token_;
    AdminHandlers handlers_;
    httplib::Server server_;
    std::thread thread_;
};

AdminServer::AdminServer(Endpoint listen, std::string token, AdminHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(listen), std::move(token), std::move(handlers)))
{ }

AdminServer::~AdminServer() = default;

Result<void> AdminServer::start()
{
    return impl_->start();
}

void AdminServer::stop()
{
    impl_->stop();
}

} // namespace foxtailturn
