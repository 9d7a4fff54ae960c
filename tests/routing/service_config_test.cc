#include "tarragon/routing/service_config.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace tarragon::routing {
namespace {

route MakeRoute(std::string host, std::string prefix) {
  route rule;
  rule.name = host + prefix;
  rule.host = std::move(host);
  rule.prefix = std::move(prefix);
  rule.services = {{"s", 1}};
  return rule;
}

// Guards against sending a request to the service of a shorter prefix or another host.
TEST(ServiceConfigTest, LongestPrefixOfTheHostWins) {
  service_config_parts parts;
  parts.routes = {MakeRoute("a", "/x/"), MakeRoute("a", "/x/y/"), MakeRoute("b", "/x/y/z/")};
  const auto config = service_config::Make(parts);
  ASSERT_TRUE(config);
  EXPECT_EQ(config->FindRoute("a", "/x/y/z/1")->name, "a/x/y/");
  EXPECT_EQ(config->FindRoute("a", "/x/q")->name, "a/x/");
  EXPECT_EQ(config->FindRoute("a", "/x"), nullptr);
  EXPECT_EQ(config->FindRoute("c", "/x/1"), nullptr);
}

// Guards against applying a configuration with a route that has nowhere to send its requests or
// matches no path.
TEST(ServiceConfigTest, RejectsRouteWithoutServiceOrWithInvalidPrefix) {
  service_config_parts parts;
  parts.routes = {MakeRoute("a", "/x/")};
  parts.routes[0].services.clear();
  EXPECT_FALSE(service_config::Make(parts));
  parts.routes = {MakeRoute("a", "x")};
  EXPECT_FALSE(service_config::Make(parts));
}

// Guards against attributing a request to the wrong client account, or admitting one whose API key
// is missing or unknown.
TEST(ServiceConfigTest, FindsAccountByApiKey) {
  service_config_parts parts;
  parts.accounts = {{"one", {"k1", "k2"}, std::nullopt}, {"two", {"k3"}, 4}};
  const auto config = service_config::Make(parts);
  EXPECT_EQ(config->FindAccount("k2")->name, "one");
  EXPECT_EQ(config->FindAccount("k3")->priority, 4);
  EXPECT_EQ(config->FindAccount(""), nullptr);
  EXPECT_EQ(config->FindAccount("k4"), nullptr);
}

// Guards against a traffic split that ignores a weight or favours the first service.
TEST(ServiceConfigTest, PicksServiceByWeight) {
  route rule = MakeRoute("a", "/");
  rule.services = {{"zero", 0}, {"most", 90}, {"few", 10}};
  EXPECT_EQ(PickService(rule, 0.0), "most");
  EXPECT_EQ(PickService(rule, 0.89), "most");
  EXPECT_EQ(PickService(rule, 0.91), "few");
  EXPECT_EQ(PickService(rule, 0.999), "few");
}

}  // namespace
}  // namespace tarragon::routing
