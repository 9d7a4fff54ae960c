#include <gflags/gflags.h>

#include <chrono>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_platform/platform_service.h"
#include "tarragon/base/log.h"
#include "tarragon/base/real_clock.h"

DEFINE_string(listen, "127.0.0.1:7000", "ip:port to listen on");
DEFINE_double(write_rate, 400, "rows and objects written per second; 0 for no limit");
DEFINE_double(read_rate, 2000, "reads per second; 0 for no limit");
DEFINE_double(weight_rate, 2, "weight fetches per second; 0 for no limit");
DEFINE_uint64(list_lag_ms, 0, "age at which a change appears in the list of VMs");
DEFINE_double(link_delay_ms, 0, "added to each request and again to each response");
DEFINE_uint64(seed, 1, "seed of all random draws");

namespace tarragon::fakes {
namespace {

constexpr char kUsage[] =
    "Stand-in for the platform: table, object store, list of VMs, weight store.\n"
    "  fake_platform --listen 127.0.0.1:7000 --write_rate 400 --list_lag_ms 2000\n"
    "  curl -d '{\"conditions\":[{\"key\":\"a/b\",\"version\":0}],\n"
    "            \"writes\":[{\"key\":\"a/b\",\"value\":\"text\"}]}' \\\n"
    "    127.0.0.1:7000/table/transactions\n"
    "  curl -d '{\"kind\":\"outage\",\"share\":1,\"for_ms\":5000}' 127.0.0.1:7000/fault";

duration LinkDelay() {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(FLAGS_link_delay_ms));
}

int Run() {
  const real_clock time;
  stand_in_server server(LinkDelay());
  if (!server.Bind(FLAGS_listen)) {
    LogEvent("bad_flag", {{"flag", "listen"}, {"expected", "a free ip:port"}});
    return 2;
  }
  platform_service service({.write_rate = FLAGS_write_rate,
                            .read_rate = FLAGS_read_rate,
                            .weight_rate = FLAGS_weight_rate,
                            .list_lag = std::chrono::milliseconds(FLAGS_list_lag_ms),
                            .seed = FLAGS_seed},
                           time);
  service.Register(server);
  LogEvent("started", {{"listen", FLAGS_listen}});
  server.Serve();
  return 0;
}

}  // namespace
}  // namespace tarragon::fakes

int main(int argc, char** argv) {
  gflags::SetUsageMessage(tarragon::fakes::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return tarragon::fakes::Run();
}
