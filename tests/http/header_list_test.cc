#include "tarragon/http/header_list.h"

#include <gtest/gtest.h>

#include <string>

namespace tarragon::http {
namespace {

// Guards against a header lookup that depends on the case of the name.
TEST(HeaderListTest, NamesIgnoreCase) {
  header_list headers;
  headers.Add("Retry-After", "1");
  ASSERT_TRUE(headers.Find("retry-after"));
  headers.Remove("RETRY-AFTER");
  EXPECT_FALSE(headers.Find("Retry-After"));
}

// Guards against forwarding headers that `Connection` names, which would leak hop-by-hop state.
TEST(HeaderListTest, RemoveHopByHopAlsoRemovesNamedHeaders) {
  header_list headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("X-Hop", "1");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("Content-Length", "3");
  headers.Add("X-End", "2");
  headers.RemoveHopByHop();
  std::string text;
  headers.AppendTo(text);
  EXPECT_EQ(text, "X-End: 2\r\n");
}

// Guards against a caller's copy of a header that remains next to the value the gateway sets.
TEST(HeaderListTest, SetReplacesAllCopies) {
  header_list headers;
  headers.Add("a", "1");
  headers.Add("A", "2");
  headers.Set("a", "3");
  EXPECT_EQ(headers.all(), (std::vector<header>{{"a", "3"}}));
}

// Guards against a caller that waits in vain for status 100 because its `Expect` header has other
// case, spaces or further tokens.
TEST(HeaderListTest, HasTokenParsesLists) {
  header_list headers;
  headers.Add("Expect", "x,  100-Continue ");
  EXPECT_TRUE(headers.HasToken("expect", "100-continue"));
  EXPECT_FALSE(headers.HasToken("expect", "100"));
}

// Guards against a value, such as an id of the store, that ends its line and adds a header.
TEST(HeaderListTest, ValuesCannotAddLines) {
  header_list headers;
  headers.Add("Expect-Instance", "i-1\r\nTenant: other");
  std::string text;
  headers.AppendTo(text);
  EXPECT_EQ(text, "Expect-Instance: i-1  Tenant: other\r\n");
  EXPECT_FALSE(headers.Find("Tenant"));
}

// Guards against a removal that leaves parts of a header, or takes its neighbours along.
TEST(HeaderListTest, RemovesFirstMiddleAndLastHeader) {
  header_list headers;
  for (const std::string_view name : {"a", "b", "a", "c", "a"}) {
    headers.Add(name, std::string(name) + ": 1");
  }
  headers.Remove("A");
  EXPECT_EQ(headers.all(), (std::vector<header>{{"b", "b: 1"}, {"c", "c: 1"}}));
}

}  // namespace
}  // namespace tarragon::http
