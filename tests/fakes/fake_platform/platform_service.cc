#include "fakes/fake_platform/platform_service.h"

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tarragon/base/log.h"

namespace tarragon::fakes {

namespace {

using httplib::Request;
using httplib::Response;

nlohmann::json ToJson(const table_row& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

nlohmann::json ToJson(const vm_entry& entry) {
  return {{"id", entry.id},
          {"address", entry.address},
          {"failure_domain", entry.failure_domain},
          {"state", entry.state}};
}

bool HasString(const nlohmann::json& body, const char* key) {
  return body.contains(key) && body[key].is_string();
}

}  // namespace

platform_service::platform_service(platform_options options, const clock& time)
    : clock_(time),
      faults_(options.seed),
      write_limit_(options.write_rate),
      read_limit_(options.read_rate),
      weight_limit_(options.weight_rate),
      vms_(options.list_lag) {}

void platform_service::Register(stand_in_server& server) {
  RegisterTable(server);
  RegisterObjects(server);
  RegisterVms(server);
  RegisterControl(server);
}

platform_service::handler platform_service::WrapRead(handler inner) {
  return [this, inner = std::move(inner)](const Request& request, Response& response) {
    if (AdmitCall(read_limit_, 1, response)) {
      ++counts_.reads;
      inner(request, response);
    }
  };
}

// Returns false and sets the response if the call must have no effect.
bool platform_service::AdmitCall(rate_limit& limit, double tokens, Response& response) {
  std::this_thread::sleep_for(faults_.DrawDelay(clock_.Now()));
  if (faults_.DrawOutage(clock_.Now())) {
    ++counts_.refused_in_outage;
    SetErrorResponse(response, 503, "unavailable", "the platform is unavailable");
    return false;
  }
  if (!limit.Take(tokens, clock_.Now())) {
    ++counts_.rate_limited;
    response.set_header("Retry-After", "1");
    SetErrorResponse(response, 429, "rate_limited",
                     "the call exceeds the rate limit of the platform");
    return false;
  }
  return true;
}

void platform_service::FinishWrite() {
  ++counts_.writes;
  if (faults_.DrawLostResponse(clock_.Now())) {
    ++counts_.answers_lost;
    stand_in_server::DropCurrentConnection();
  }
}

void platform_service::RegisterTable(stand_in_server& server) {
  server.Get("/table", WrapRead([this](const Request& request, Response& response) {
               nlohmann::json rows = nlohmann::json::array();
               for (const table_row& row : table_.Scan(request.get_param_value("prefix"))) {
                 rows.push_back(ToJson(row));
               }
               SetJsonResponse(response, 200, rows);
             }));
  server.Get("/table/(.+)", WrapRead([this](const Request& request, Response& response) {
               const std::optional<table_row> row = table_.Read(request.matches[1].str());
               if (!row) {
                 SetErrorResponse(response, 404, "not_found", "the row does not exist");
                 return;
               }
               SetJsonResponse(response, 200, ToJson(*row));
             }));
  server.Post("/table/transactions", [this](const Request& request, Response& response) {
    HandleTransaction(request, response);
  });
}

void platform_service::HandleTransaction(const Request& request, Response& response) {
  const std::optional<table_transaction> parsed = ParseTransaction(ParseObject(request.body));
  if (!parsed) {
    SetErrorResponse(response, 400, "bad_request",
                     "expected {conditions:[{key, version}], writes:[{key, value}]}");
    return;
  }
  if (!AdmitCall(write_limit_, std::max(1.0, static_cast<double>(parsed->writes.size())),
                 response)) {
    return;
  }
  const commit_result result = table_.Commit(*parsed);
  if (result.conflicts.empty()) {
    SetJsonResponse(response, 200, {{"versions", result.versions}});
  } else {
    ++counts_.conflicts;
    nlohmann::json conflicts = nlohmann::json::array();
    for (const table_condition& item : result.conflicts) {
      conflicts.push_back({{"key", item.key}, {"version", item.version}});
    }
    SetJsonResponse(response, 409,
                    {{"error", {{"code", "conflict"}, {"message", "a condition did not hold"}}},
                     {"conflicts", std::move(conflicts)}});
  }
  FinishWrite();
}

void platform_service::RegisterObjects(stand_in_server& server) {
  server.Get("/objects/(.+)", WrapRead([this](const Request& request, Response& response) {
               const std::optional<std::string> data = objects_.Get(request.matches[1].str());
               if (!data) {
                 SetErrorResponse(response, 404, "not_found", "the object does not exist");
                 return;
               }
               response.set_content(*data, "application/octet-stream");
             }));
  server.Put("/objects/(.+)", [this](const Request& request, Response& response) {
    HandlePutObject(request, response);
  });
}

void platform_service::HandlePutObject(const Request& request, Response& response) {
  if (!AdmitCall(write_limit_, 1, response)) {
    return;
  }
  const std::string key = request.matches[1].str();
  objects_.Put(key, request.body);
  SetJsonResponse(response, 200, {{"key", key}, {"bytes", request.body.size()}});
  FinishWrite();
}

void platform_service::RegisterVms(stand_in_server& server) {
  server.Get("/vms", WrapRead([this](const Request&, Response& response) {
               nlohmann::json list = nlohmann::json::array();
               for (const vm_entry& entry : vms_.List(clock_.Now())) {
                 list.push_back(ToJson(entry));
               }
               SetJsonResponse(response, 200, list);
             }));
  server.Put("/vms/([^/]+)", [this](const Request& request, Response& response) {
    HandlePutVm(request, response);
  });
  server.Delete("/vms/([^/]+)", [this](const Request& request, Response& response) {
    vms_.Remove(request.matches[1].str(), clock_.Now());
    SetJsonResponse(response, 200, nlohmann::json::object());
  });
}

// Stands in for changes made by the platform itself, so neither limits nor faults apply.
void platform_service::HandlePutVm(const Request& request, Response& response) {
  const nlohmann::json body = ParseObject(request.body);
  const bool valid = !body.is_discarded() && HasString(body, "address") &&
                     HasString(body, "failure_domain") && HasString(body, "state") &&
                     (body["state"] == "live" || body["state"] == "leaving");
  if (!valid) {
    SetErrorResponse(response, 400, "bad_request",
                     "expected {address, failure_domain, state: live|leaving}");
    return;
  }
  const vm_entry entry{request.matches[1].str(), body["address"], body["failure_domain"],
                       body["state"]};
  vms_.Set(entry, clock_.Now());
  SetJsonResponse(response, 200, ToJson(entry));
}

void platform_service::RegisterControl(stand_in_server& server) {
  server.Get("/weights/([^/]+)/([^/]+)", [this](const Request& request, Response& response) {
    if (!AdmitCall(weight_limit_, 1, response)) {
      return;
    }
    ++counts_.weight_fetches;
    SetJsonResponse(response, 200,
                    {{"model", request.matches[1].str()}, {"version", request.matches[2].str()}});
  });
  server.Post("/fault", [this](const Request& request, Response& response) {
    const nlohmann::json body = ParseObject(request.body);
    const std::string problem =
        body.is_discarded() ? "expected a JSON object" : faults_.Set(body, clock_.Now());
    if (!problem.empty()) {
      SetErrorResponse(response, 400, "bad_request", problem);
      return;
    }
    LogEvent("fault_set", {{"fault", body.dump()}});
    SetJsonResponse(response, 200, {{"kind", body["kind"]}});
  });
  server.Get("/stats", [this](const Request&, Response& response) {
    SetJsonResponse(response, 200,
                    {{"reads", counts_.reads.load()},
                     {"writes", counts_.writes.load()},
                     {"conflicts", counts_.conflicts.load()},
                     {"rate_limited", counts_.rate_limited.load()},
                     {"refused_in_outage", counts_.refused_in_outage.load()},
                     {"answers_lost", counts_.answers_lost.load()},
                     {"weight_fetches", counts_.weight_fetches.load()}});
  });
}

}  // namespace tarragon::fakes
