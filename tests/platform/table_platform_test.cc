#include "table_platform.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <limits>
#include <string>

#include "base64.h"

namespace tarragon::platform {
namespace {

constexpr std::string_view kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"h","prefix":"/a/","kind":"stream","timeout-ms":6000,"target-latency-ms":1500,
   "priority":0,"service":"s1","max-attempts":2,"public":false,"sticky":true,"resumable":true,
   "gap-target-ms":180},
  {"name":"r2","host":"h","prefix":"/b/","kind":"unsafe","timeout-ms":39000,"priority":1,
   "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":1}],
  "services":[{"name":"s1","health-path":"/healthz","max-connections":242,"engine":{"slots":24,
   "kv-capacity":34454,"moves":true,"backups":true}},{"name":"s2","max-connections":100}],
  "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
   "idle-timeout-ms":15000},
  "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1}]})";

constexpr std::string_view kEntry =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"z","slots":24,"state":"draining",
        "version":"v1","cold-remaining-ms":5,"sequence":4,"born":1790000000000})";

const table_platform kPlatform;

// Guards against an order to evacuate a failure domain that is not recognized, and against one that
// is read from another row.
TEST(TablePlatformTest, ReadsTheEvacuatedDomain) {
  EXPECT_EQ(kPlatform.ReadEvacuatedDomain("evacuate/zone-1"), "zone-1");
  EXPECT_EQ(kPlatform.ReadEvacuatedDomain("evacuate/"), std::nullopt);
  EXPECT_EQ(kPlatform.ReadEvacuatedDomain("config"), std::nullopt);
}

// Guards against a field of the configuration that is ignored because of a wrong name or type, so
// that its default applies.
TEST(TablePlatformTest, ReadsAConfiguration) {
  const auto decoded = kPlatform.DecodeConfig(kConfig);
  ASSERT_TRUE(decoded);
  const routing::service_config& config = *decoded.value();
  EXPECT_EQ(config.version(), 7U);
  const routing::route* stream = config.FindRoute("h", "/a/1");
  ASSERT_NE(stream, nullptr);
  EXPECT_EQ(stream->kind, routing::repeat_kind::kStream);
  EXPECT_TRUE(stream->resumable);
  EXPECT_EQ(stream->pause_objective, std::chrono::milliseconds(180));
  EXPECT_EQ(config.FindRoute("h", "/b/1")->services.size(), 2U);
  EXPECT_EQ(config.FindService("s1")->engine->memory_tokens, 34454U);
  EXPECT_FALSE(config.FindService("s2")->engine);
  EXPECT_EQ(config.FindAccount("k2")->name, "t1");
}

// Guards against new requests to an endpoint that has announced that it leaves, and against a
// restart that goes unnoticed because the start time was not read.
TEST(TablePlatformTest, ReadsAnEndpoint) {
  const auto entry = kPlatform.DecodeEndpoint("i-1", kEntry);
  ASSERT_TRUE(entry);
  EXPECT_TRUE(entry.value().leaving);
  EXPECT_EQ(entry.value().started_unix_ms, 1790000000000);
  EXPECT_EQ(entry.value().software_version, "v1");
}

// Guards against decoding a row as an endpoint although another writer damaged the row or wrote it
// in another format.
TEST(TablePlatformTest, RejectsRowsThatAreNotEndpoints) {
  for (const std::string_view text :
       {"", "{", "[]", "3", R"({"service":"s"})",
        R"({"service":3,"address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":2,"state":"odd"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":2.5,"state":"ready"})"}) {
    EXPECT_FALSE(kPlatform.DecodeEndpoint("i", text)) << text;
  }
}

// Guards against applying only the readable part of a configuration.
TEST(TablePlatformTest, RejectsConfigurationWithInvalidRoute) {
  EXPECT_FALSE(kPlatform.DecodeConfig(R"({"version":1,"routes":[{"host":"h"}]})"));
  EXPECT_FALSE(kPlatform.DecodeConfig(R"({"routes":[]})"));
  EXPECT_TRUE(kPlatform.DecodeConfig(R"({"version":1,"routes":[]})"));
}

// Guards against a crash on malformed input.
RC_GTEST_PROP(TablePlatformTest, DecodesOrRejectsAnyBytes, (const std::string& bytes)) {
  const auto cut = *rc::gen::inRange<std::size_t>(0, kConfig.size());
  for (const std::string& text : {bytes, std::string(kConfig.substr(0, cut)) + bytes}) {
    (void)kPlatform.DecodeConfig(text);
    (void)kPlatform.DecodeEndpoint("i", text);
    (void)kPlatform.DecodePage(text, 1);
    (void)kPlatform.DecodeKvCopy(text);
  }
}

// Guards against row values that change on their way through the store, and against a crash on a
// value that is not Base64.
RC_GTEST_PROP(Base64Test, RoundTrip, (const std::string& bytes)) {
  RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  DecodeBase64(bytes);
}

// Guards against refusing a valid API key because of the case of its scheme, and against wrong
// sizes or loads, such as a slowness in percent that is taken for a factor.
TEST(TablePlatformTest, ReadsHeaders) {
  http::header_list headers;
  headers.Add("Authorization", "token abc");
  headers.Add("Token-Usage", "1460,80");
  headers.Add("Length-Hint", "33");
  headers.Add("Server-Load", "3,1,8,250");
  EXPECT_EQ(kPlatform.ReadApiKey(headers), "abc");
  EXPECT_EQ(kPlatform.ReadGenerationSize(headers).prompt_tokens, 1460U);
  EXPECT_EQ(kPlatform.ReadGenerationSize(headers).expected_output_tokens, 33U);
  EXPECT_DOUBLE_EQ(kPlatform.ReadLoadReport(headers)->slowness, 2.5);
  headers.Set("Server-Load", "x");
  EXPECT_FALSE(kPlatform.ReadLoadReport(headers));
}

// Guards against undefined conversions of numbers that callers and endpoints may state.
TEST(TablePlatformTest, BoundsStatedNumbers) {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  http::header_list headers;
  headers.Add("Token-Usage", "1e300,inf");
  headers.Add("Length-Hint", "4294967296");
  headers.Add("Server-Load", "-1,nan,5e9");
  const gateway::generation_size size = kPlatform.ReadGenerationSize(headers);
  EXPECT_EQ(size.prompt_tokens, kMax);
  EXPECT_EQ(size.max_output_tokens, kMax);
  EXPECT_EQ(size.expected_output_tokens, kMax);
  EXPECT_EQ(kPlatform.ReadLoadReport(headers)->running, 0U);
  EXPECT_EQ(kPlatform.ReadLoadReport(headers)->waiting, 0U);
  EXPECT_EQ(kPlatform.ReadLoadReport(headers)->slots, kMax);
}

std::string EndpointRow(std::string_view address, std::string_view slots) {
  return fmt::format(R"({{"service":"s","address":"{}","zone":"z","slots":{},"state":"ready"}})",
                     address, slots);
}

// Guards against an odd row of another writer that ends the process, or that becomes an endpoint to
// which no request can be sent (reported by operators of similar systems).
TEST(TablePlatformTest, RejectsOddEndpoints) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  EXPECT_FALSE(kPlatform.DecodeEndpoint("i", nested));
  EXPECT_FALSE(kPlatform.DecodeEndpoint("i", std::string(kDepth, '{')));
  EXPECT_FALSE(kPlatform.DecodeEndpoint("i", EndpointRow("10.0.0.9:80", "1e999")));
  EXPECT_FALSE(kPlatform.DecodeEndpoint("i", EndpointRow("10.0.0.9:80", "-1")));
  for (const std::string_view address :
       {"10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:0", "10.0.0.9", "host:80", ":80", ""}) {
    EXPECT_FALSE(kPlatform.DecodeEndpoint("i", EndpointRow(address, "8"))) << address;
  }
  const std::string with_nested = fmt::format(
      R"({{"more":{},"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready"}})",
      nested);
  EXPECT_TRUE(kPlatform.DecodeEndpoint("i", with_nested));
  const auto largest = kPlatform.DecodeEndpoint("i", EndpointRow("10.0.0.9:80", "4294967297"));
  ASSERT_TRUE(largest);
  EXPECT_EQ(largest.value().slots, std::numeric_limits<std::uint32_t>::max());
}

// Guards against endpoints that are taken out of use because of a value that the platform does not
// define, and against a departure that is not noticed.
TEST(TablePlatformTest, ReadsThatAnEndpointLeaves) {
  using gateway::leaving_statement;
  http::header_list headers;
  EXPECT_EQ(kPlatform.ReadLeaving(headers), leaving_statement::kNone);
  for (const char* value : {"0", "true", "", "11", "1 1"}) {
    headers.Set("Server-Leaving", value);
    EXPECT_EQ(kPlatform.ReadLeaving(headers), leaving_statement::kUnreadable) << value;
  }
  headers.Set("Server-Leaving", "1");
  EXPECT_EQ(kPlatform.ReadLeaving(headers), leaving_statement::kLeaving);
}

// Guards against a pause that is taken for a shorter one, or never ends, because of an odd value.
TEST(TablePlatformTest, ReadsPauses) {
  http::header_list headers;
  EXPECT_FALSE(kPlatform.ReadPause(headers).time);
  headers.Add("Retry-After", "1.5");
  EXPECT_EQ(kPlatform.ReadPause(headers).time, std::chrono::milliseconds(1500));
  EXPECT_FALSE(kPlatform.ReadPause(headers).is_irregular);
  headers.Add("retry-after", "0.25");
  EXPECT_EQ(kPlatform.ReadPause(headers).time, std::chrono::milliseconds(1500));
  EXPECT_TRUE(kPlatform.ReadPause(headers).is_irregular);
  for (const char* value : {"-1", "nan", "", "soon", "1s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    headers.Set("Retry-After", value);
    EXPECT_FALSE(kPlatform.ReadPause(headers).time) << value;
    EXPECT_TRUE(kPlatform.ReadPause(headers).is_irregular) << value;
  }
  for (const char* value : {"1e300", "inf", "99999999999999999999"}) {
    headers.Set("Retry-After", value);
    EXPECT_GT(kPlatform.ReadPause(headers).time, std::chrono::hours(1)) << value;
  }
}

// Guards against crashes that are attributed to a wrong part of a prompt.
TEST(TablePlatformTest, ReadsPromptParts) {
  http::header_list headers;
  EXPECT_TRUE(kPlatform.ReadPromptParts(headers).empty());
  headers.Add("Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d");
  EXPECT_EQ(kPlatform.ReadPromptParts(headers),
            (std::vector<std::string>{"5c1e07a2", "91bd3f06", "e4402b7d"}));
  headers.Set("Prompt-Prefix", ",:,");
  EXPECT_TRUE(kPlatform.ReadPromptParts(headers).empty());
}

// Guards against a restored store that is not noticed, or is seen where the header is damaged.
TEST(TablePlatformTest, ReadsTheEraOfTheStore) {
  http::header_list headers;
  EXPECT_EQ(kPlatform.ReadStoreEra(headers), 0U);
  headers.Add("Store-Era", "3");
  EXPECT_EQ(kPlatform.ReadStoreEra(headers), 3U);
  for (const char* damaged : {"", "x", "-1", "3x", "99999999999999999999"}) {
    headers.Set("Store-Era", damaged);
    EXPECT_EQ(kPlatform.ReadStoreEra(headers), 0U) << damaged;
  }
}

// Guards against a limit that is not seen, or is read from a damaged value.
TEST(TablePlatformTest, ReadsARateLimit) {
  http::header_list headers;
  EXPECT_FALSE(kPlatform.ReadRateLimit(headers));
  headers.Add("Server-Limit", "6.25");
  EXPECT_EQ(kPlatform.ReadRateLimit(headers), 6.25);
  for (const char* damaged : {"", "x", "-1", "nan", "inf", "3,4"}) {
    headers.Set("Server-Limit", damaged);
    EXPECT_FALSE(kPlatform.ReadRateLimit(headers)) << damaged;
  }
}

// Guards against keeping an endpoint whose row was deleted, and against reading rows of another
// partition.
TEST(TablePlatformTest, ReadsDeletedRows) {
  const auto page = kPlatform.DecodePage(
      R"({"rows":[{"table":"t","part":"","key":"a","ver":4,"tombstone":true},
                  {"table":"t","part":"p","key":"b","ver":5}],"ver":9})",
      2);
  ASSERT_TRUE(page);
  ASSERT_EQ(page.value().rows.size(), 1U);
  EXPECT_TRUE(page.value().rows[0].deleted);
  EXPECT_EQ(page.value().version, routing::store_version(2, 9));
  EXPECT_EQ(page.value().rows[0].version.era, 2U);
}

}  // namespace
}  // namespace tarragon::platform
