#include "fakes/fake_endpoint/plain_service.h"

#include <cstdlib>
#include <utility>

#include "tarragon/base/log.h"

namespace tarragon::fakes {

namespace {

constexpr std::chrono::milliseconds kReportInterval{20};

}  // namespace

plain_service::plain_service(plain_options options, const clock& time, fault_state& faults)
    : options_(std::move(options)),
      clock_(time),
      faults_(faults),
      reporter_(options_.report_lag),
      random_(options_.seed) {
  reporter_.Record(clock_.Now(), CurrentLoad());
  report_thread_ = std::thread([this] { RunReports(); });
}

plain_service::~plain_service() {
  stopping_ = true;
  report_thread_.join();
}

void plain_service::Register(stand_in_server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/executions", [this](const Request&, Response& response) {
    SetJsonResponse(response, 200, log_.List());
  });
  server.Get("/load", [this](const Request&, Response& response) {
    SetJsonResponse(response, 200, reporter_.Report(clock_.Now()));
  });
  server.Get("/stats", [this](const Request&, Response& response) {
    nlohmann::json stats = CurrentLoad();
    stats["executions"] = log_.List();
    std::lock_guard lock(mutex_);
    stats["declined"] = declined_;
    SetJsonResponse(response, 200, stats);
  });
  const auto handle = [this](const Request& request, Response& response) {
    HandleCall(request, response);
  };
  server.Get(".*", handle);
  server.Post(".*", handle);
  server.Put(".*", handle);
  server.Patch(".*", handle);
  server.Delete(".*", handle);
  server.Options(".*", handle);
}

void plain_service::HandleCall(const httplib::Request& request, httplib::Response& response) {
  if (faults_.IsLeaveGraceOver(clock_.Now()) || !AcquireSlot()) {
    response.set_header("Retry-After", "1");
    SetErrorResponse(response, 429, "declined", "the service does not accept requests now");
    return;
  }
  // Counted at the start, because an interrupted execution may have had its effect.
  const std::uint64_t executions =
      log_.Add({request.get_header_value("Idempotency-Key"), request.method, request.path});
  if (faults_.ShouldCrashOn(request.body)) {
    LogEvent("died_on_prompt", {{"path", request.path}});
    std::_Exit(1);
  }
  std::this_thread::sleep_for(DrawServiceTime());
  faults_.WaitWhileFrozen(clock_);
  ReleaseSlot();
  std::this_thread::sleep_for(faults_.ResponseDelay(clock_.Now()));
  SetJsonResponse(response, 200,
                  {{"service", options_.name},
                   {"path", request.path},
                   {"method", request.method},
                   {"body", request.body},
                   {"executions", executions}});
}

bool plain_service::AcquireSlot() {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (waiting_ >= options_.max_waiting) {
      ++declined_;
      return false;
    }
    ++waiting_;
    slot_free_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
  }
  ++running_;
  return true;
}

void plain_service::ReleaseSlot() {
  {
    std::lock_guard lock(mutex_);
    --running_;
  }
  slot_free_.notify_one();
}

duration plain_service::DrawServiceTime() {
  std::lock_guard lock(mutex_);
  const duration jitter(
      std::uniform_int_distribution<duration::rep>(0, duration(options_.jitter).count())(random_));
  return std::chrono::duration_cast<duration>((options_.service_time + jitter) *
                                              faults_.SlowFactor(clock_.Now()));
}

nlohmann::json plain_service::CurrentLoad() const {
  std::lock_guard lock(mutex_);
  return {{"running", running_},
          {"waiting", waiting_},
          {"slots", options_.slots},
          {"leaving", faults_.IsLeaving()}};
}

void plain_service::RunReports() {
  while (!stopping_) {
    std::this_thread::sleep_for(kReportInterval);
    faults_.WaitWhileFrozen(clock_);
    reporter_.Record(clock_.Now(), CurrentLoad());
  }
}

}  // namespace tarragon::fakes
