#include "fakes/fake_endpoint/model_loader.h"

#include <httplib.h>

#include <optional>
#include <utility>

#include "tarragon/base/log.h"

namespace tarragon::fakes {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{20};
constexpr milliseconds kRetryInterval{300};

}  // namespace

model_loader::model_loader(engine& served,
                           desired_state& desired,
                           std::string weights_url,
                           milliseconds load_time)
    : engine_(served),
      desired_(desired),
      weights_url_(std::move(weights_url)),
      load_time_(load_time),
      thread_([this] { RunLoads(); }) {}

model_loader::~model_loader() {
  stopping_ = true;
  thread_.join();
}

void model_loader::RunLoads() {
  while (!stopping_) {
    const std::optional<served_state> wanted = desired_.Pending();
    if (!wanted) {
      engine_.SetLoading(false);
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    engine_.SetLoading(true);
    if (!FetchWeights(*wanted)) {
      std::this_thread::sleep_for(kRetryInterval);
      continue;
    }
    std::this_thread::sleep_for(load_time_);
    desired_.FinishLoad(*wanted);
    LogEvent("model_loaded", {{"model", wanted->model}, {"version", wanted->version}});
  }
}

bool model_loader::FetchWeights(const served_state& wanted) const {
  if (weights_url_.empty()) {
    return true;
  }
  httplib::Client client(weights_url_);
  client.set_connection_timeout(1);
  const httplib::Result response = client.Get("/weights/" + wanted.model + "/" + wanted.version);
  return response && response->status == 200;
}

}  // namespace tarragon::fakes
