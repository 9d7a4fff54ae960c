#ifndef TARRAGON_TESTS_EMULATOR_FLEET_EMULATOR_H_
#define TARRAGON_TESTS_EMULATOR_FLEET_EMULATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulator/caller.h"
#include "emulator/endpoint_emulator.h"
#include "emulator/execution_record.h"
#include "emulator/gateway_child.h"
#include "emulator/store_emulator.h"
#include "tarragon/base/real_clock.h"

namespace tarragon::emulator {

struct fleet_options {
  std::size_t gateways = 3;
  /** The first ones have addresses of their own for all endpoints, so that they can be cut off. */
  std::size_t partitionable_gateways = 0;
  std::size_t engines = 5;
  std::size_t plain_endpoints = 2;
  /** Failure domains over which the endpoints are spread; the gateways use three. */
  std::size_t endpoint_domains = 1;
  endpoint_faults plain_faults;
  /** Streams of the engines have neither a length nor chunks, and end with their connection. */
  bool has_unframed_streams = false;
  /** Prompt part that crashes each engine which begins to answer a request with it. */
  std::string crashing_part;
  /** Time after which a crashed engine is back as a new one. */
  std::chrono::milliseconds engine_restart{1500};
  /** Time between two events of an engine's streams. */
  std::chrono::milliseconds event_interval{5};
  /** The first engines produce events at this interval instead. */
  std::size_t slow_engines = 0;
  std::chrono::milliseconds slow_event_interval{60};
  /** Generations that an engine runs at once. */
  std::size_t engine_slots = 24;
  /** The first ones run the version in production, the others the current one. */
  std::size_t production_gateways = 0;
  /** Further tables of each gateway's settings file. */
  std::string further_settings;
  std::uint64_t seed = 1;
};

/** A deployment on loopback: emulated store, endpoints and callers, and real gateway processes. */
class fleet_emulator final {
 public:
  explicit fleet_emulator(fleet_options options);
  ~fleet_emulator();

  asio::io_context& loop() { return loop_; }
  store_emulator& store() { return store_; }
  const execution_record& record() const { return record_; }
  gateway_child& gateway(std::size_t index) { return *gateways_.at(index); }
  std::size_t gateway_count() const { return gateways_.size(); }
  const std::vector<std::shared_ptr<caller>>& callers() const { return callers_; }
  std::mt19937_64& random() { return random_; }
  endpoint_emulator& plain_endpoint(std::size_t index) { return *plain_.at(index); }
  endpoint_emulator& engine(std::size_t index) { return *engines_.at(index); }
  std::size_t engine_count() const { return engines_.size(); }
  std::size_t plain_count() const { return plain_.size(); }
  /** Writes an endpoint's row again. */
  void PublishPlain(std::size_t index, bool leaving);
  void PublishEngine(std::size_t index, bool leaving);
  /** Replaces an endpoint by a new incarnation at the same address. @return its id. */
  std::string ReincarnatePlain(std::size_t index);

  /** Writes a newer version of the configuration to the store. */
  void WriteConfig();
  std::uint64_t config_version() const { return config_version_; }

  /**
   * Sends a request to a gateway.
   * @param prompt_parts value of the header that states the parts of the prompt, or empty.
   */
  std::shared_ptr<caller> SendRequest(call_kind kind,
                                      std::uint64_t events,
                                      std::size_t gateway_index,
                                      const std::string& prompt_parts = {});
  /** Takes a broken stream up at a gateway, as its caller does after the connection has ended. */
  std::shared_ptr<caller> TakeUp(const caller& broken, std::size_t gateway_index);
  /** @return a request that is not sent yet, for `kept_connection`. */
  std::shared_ptr<caller> MakeRequest(call_kind kind, std::uint64_t events);
  /** @return times at which engines crashed because of the crashing part. */
  const std::vector<time_point>& crashes() const { return crashes_; }
  time_point Now() const { return time_.Now(); }

  /** Sets the software version of the endpoints that are added from now on. */
  void SetSoftwareVersion(std::string version) { software_version_ = std::move(version); }
  /** @return id of the added engine. */
  std::string AddEngine();
  /** Stops all engines of a software version, and removes them from the list. */
  void StopEngines(const std::string& software_version);
  /** Stops an engine without notice; its entry stays in the list. */
  void StopEngine(std::size_t index);
  /** Kills all gateways and starts them again. */
  void RestartGateways();
  /** Adds an engine; a random one announces that it leaves, and stops after `notice`. */
  void ReplaceEngine(std::chrono::milliseconds notice);
  /** Adds an engine; another one stops without notice. */
  void CrashEngine();

  /** Cuts a partitionable gateway off from all endpoints, or ends the cut. */
  void SetCutOff(std::size_t gateway_index, bool is_cut_off);

  void RunFor(std::chrono::milliseconds time);
  /** Runs the loop until `condition` holds. @return false if `timeout` expires first. */
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

  /** Waits until each gateway serves a read. @return false if a gateway does not in time. */
  bool WaitUntilServing();

  /** @return indices of the gateways whose logs hold a line with this text. */
  std::vector<std::size_t> FindInLogs(const std::string& text) const;

  /** @return how often the text occurs in the log of a gateway. */
  std::size_t CountInLog(std::size_t gateway_index, const std::string& text) const;

  /** @return violated guarantees of all requests so far, one line each; empty if there are none. */
  std::string DescribeViolations() const;

 private:
  void AddEndpoint(const std::string& service);
  /** @return address of the store with the endpoints' addresses that are the gateway's own. */
  std::string StoreAddressOf(std::size_t gateway_index);
  void PublishEndpoint(const endpoint_emulator& endpoint, const std::string& service, bool leaving);
  std::unique_ptr<endpoint_emulator> RemoveRandomEngine();
  /** The engine's entry stays in the list for a while, as after any crash. */
  void OnEngineCrashed(const std::string& id);

  fleet_options options_;
  asio::io_context loop_{1};
  real_clock time_;
  std::mt19937_64 random_;
  execution_record record_{time_};
  endpoint_emulator::directory engines_by_address_;
  store_emulator store_{loop_};
  std::vector<std::unique_ptr<endpoint_emulator>> engines_;
  std::vector<std::unique_ptr<endpoint_emulator>> plain_;
  /** Endpoints that have stopped or are leaving; timers may still refer to them. */
  std::vector<std::unique_ptr<endpoint_emulator>> stopped_;
  std::vector<std::shared_ptr<caller>> callers_;
  std::vector<std::unique_ptr<gateway_child>> gateways_;
  std::set<std::size_t> cut_off_;
  std::string folder_;
  std::string software_version_ = "v1";
  std::uint64_t config_version_ = 0;
  std::uint64_t last_endpoint_ = 0;
  std::vector<time_point> crashes_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_FLEET_EMULATOR_H_
