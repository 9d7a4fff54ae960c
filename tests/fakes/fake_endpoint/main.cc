#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_endpoint/desired_state.h"
#include "fakes/fake_endpoint/engine.h"
#include "fakes/fake_endpoint/fault_state.h"
#include "fakes/fake_endpoint/model_loader.h"
#include "fakes/fake_endpoint/model_service.h"
#include "fakes/fake_endpoint/plain_service.h"
#include "tarragon/base/log.h"
#include "tarragon/base/real_clock.h"

DEFINE_string(listen, "127.0.0.1:7100", "ip:port to listen on");
DEFINE_string(name, "endpoint-0", "name in responses and logs");
DEFINE_string(kind, "model", "model (an engine) or plain (a service that echoes)");
DEFINE_string(model, "drafter", "model served at the start");
DEFINE_string(model_version, "1", "version of the model served at the start");
DEFINE_uint64(slots, 8, "streams in a batch, or requests executed at once");
DEFINE_uint64(max_waiting, 32, "requests are declined while this many wait");
DEFINE_uint64(kv_tokens, 16384, "KV cache of the engine in tokens");
DEFINE_uint64(step_us, 10000, "duration of a step with an empty batch");
DEFINE_uint64(step_per_stream_us,
              500,
              "added to the duration of a step for each stream of the batch");
DEFINE_uint64(prefill_us,
              50,
              "prefill time of a stream for each token that is not in the prefix cache");
DEFINE_uint64(cache_blocks, 1024, "prefix cache in blocks of 16 tokens; 0 switches it off");
DEFINE_uint64(cache_event_lag_ms, 200, "age at which a cache event is published");
DEFINE_double(cache_event_gap_share, 0.01, "share of the cache events that is never published");
DEFINE_uint64(report_lag_ms, 0, "minimum age of a load report");
DEFINE_bool(checks_fencing, false, "refuse orders with an outdated fencing number");
DEFINE_uint64(load_ms, 500, "time that a model load takes");
DEFINE_bool(load_blocks, false, "decline requests during a model load");
DEFINE_string(weights_url, "", "base URL of the weight store; empty for none");
DEFINE_uint64(orphan_s, 30, "a generation without a reader for this long is cancelled");
DEFINE_uint64(service_ms, 5, "execution time of a plain request");
DEFINE_uint64(service_jitter_ms,
              0,
              "maximum addition to the execution time, uniformly distributed");
DEFINE_double(link_delay_ms, 0, "added to each request and again to each response");
DEFINE_uint64(seed, 1, "seed of all random draws");

namespace tarragon::fakes {
namespace {

constexpr char kUsage[] =
    "Stand-in for an endpoint: a model engine or a plain service.\n"
    "  fake_endpoint --listen 127.0.0.1:7100 --name drafter-0 --model drafter --slots 8\n"
    "  fake_endpoint --listen 127.0.0.1:7200 --name booking-0 --kind plain --service_ms 5\n"
    "  curl -N -H 'X-Request-Id: 0123456789abcdef0123456789abcdef' \\\n"
    "    -d '{\"prompt\":\"hello [len=5]\",\"stream\":true}' 127.0.0.1:7100/v1/completions\n"
    "  curl -d '{\"kind\":\"slow\",\"factor\":5,\"for_ms\":10000}' 127.0.0.1:7100/fault";

using std::chrono::microseconds;
using std::chrono::milliseconds;

duration LinkDelay() {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(FLAGS_link_delay_ms));
}

engine_options EngineOptions() {
  return {.limits = {.slots = FLAGS_slots,
                     .kv_tokens = FLAGS_kv_tokens,
                     .max_waiting = FLAGS_max_waiting,
                     .step = microseconds(FLAGS_step_us),
                     .step_per_stream = microseconds(FLAGS_step_per_stream_us),
                     .prefill_per_token = microseconds(FLAGS_prefill_us)},
          .cache_blocks = FLAGS_cache_blocks,
          .cache_event_gap_share = FLAGS_cache_event_gap_share,
          .cache_event_lag = milliseconds(FLAGS_cache_event_lag_ms),
          .report_lag = milliseconds(FLAGS_report_lag_ms),
          .orphan_limit = std::chrono::seconds(FLAGS_orphan_s),
          .load_blocks = FLAGS_load_blocks,
          .seed = FLAGS_seed};
}

plain_options PlainOptions() {
  return {.name = FLAGS_name,
          .slots = FLAGS_slots,
          .max_waiting = FLAGS_max_waiting,
          .service_time = milliseconds(FLAGS_service_ms),
          .jitter = milliseconds(FLAGS_service_jitter_ms),
          .report_lag = milliseconds(FLAGS_report_lag_ms),
          .seed = FLAGS_seed};
}

void RegisterFaults(stand_in_server& server, fault_state& faults, const clock& time) {
  server.Post("/fault", [&](const httplib::Request& request, httplib::Response& response) {
    const nlohmann::json body = ParseObject(request.body);
    const std::string problem =
        body.is_discarded() ? "expected a JSON object" : faults.Set(body, time.Now());
    if (!problem.empty()) {
      SetErrorResponse(response, 400, "bad_request", problem);
      return;
    }
    LogEvent("fault_set", {{"fault", body.dump()}});
    if (body["kind"] == "die") {
      std::_Exit(1);
    }
    if (body["kind"] == "silent") {
      server.SilenceOpenConnections();
    }
    SetJsonResponse(response, 200, {{"kind", body["kind"]}});
  });
  // A frozen endpoint responds only to `/fault`, which can end the freeze, and to `/stats`.
  server.set_pre_routing_handler([&](const httplib::Request& request, httplib::Response&) {
    if (request.path != "/fault" && request.path != "/stats") {
      faults.WaitWhileFrozen(time);
    }
    return httplib::Server::HandlerResponse::Unhandled;
  });
}

int ServeModel(stand_in_server& server, fault_state& faults, const clock& time) {
  desired_state desired({.model = FLAGS_model, .version = FLAGS_model_version, .adapters = {}},
                        FLAGS_checks_fencing);
  engine served(EngineOptions(), time, faults, desired);
  const model_loader loader(served, desired, FLAGS_weights_url, milliseconds(FLAGS_load_ms));
  model_service service(served, desired, faults, time, LinkDelay(), FLAGS_seed);
  service.Register(server);
  server.Serve();
  return 0;
}

int ServePlain(stand_in_server& server, fault_state& faults, const clock& time) {
  plain_service service(PlainOptions(), time, faults);
  service.Register(server);
  server.Serve();
  return 0;
}

int Run() {
  if (FLAGS_kind != "model" && FLAGS_kind != "plain") {
    LogEvent("bad_flag", {{"flag", "kind"}, {"expected", "model or plain"}});
    return 2;
  }
  const real_clock time;
  fault_state faults;
  stand_in_server server(LinkDelay());
  if (!server.Bind(FLAGS_listen)) {
    LogEvent("bad_flag", {{"flag", "listen"}, {"expected", "a free ip:port"}});
    return 2;
  }
  RegisterFaults(server, faults, time);
  LogEvent("started", {{"name", FLAGS_name}, {"kind", FLAGS_kind}, {"listen", FLAGS_listen}});
  return FLAGS_kind == "model" ? ServeModel(server, faults, time)
                               : ServePlain(server, faults, time);
}

}  // namespace
}  // namespace tarragon::fakes

int main(int argc, char** argv) {
  gflags::SetUsageMessage(tarragon::fakes::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tarragon::fakes::Run();
}
