#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_LOADER_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_LOADER_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "fakes/fake_endpoint/desired_state.h"
#include "fakes/fake_endpoint/engine.h"

namespace tarragon::fakes {

/** Thread that loads the model that an engine was ordered to serve. */
class model_loader final {
 public:
  /**
   * @param weights_url base URL of the weight store, such as `http://127.0.0.1:7000`; empty for
   * none.
   * @param load_time duration of a load after the weights have been fetched.
   */
  model_loader(engine& served,
               desired_state& desired,
               std::string weights_url,
               std::chrono::milliseconds load_time);
  ~model_loader();
  model_loader(const model_loader&) = delete;
  model_loader& operator=(const model_loader&) = delete;

 private:
  void RunLoads();
  bool FetchWeights(const served_state& wanted) const;

  engine& engine_;
  desired_state& desired_;
  const std::string weights_url_;
  const std::chrono::milliseconds load_time_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_MODEL_LOADER_H_
