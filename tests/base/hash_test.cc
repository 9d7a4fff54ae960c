#include "tarragon/base/hash.h"

#include <gtest/gtest.h>

namespace tarragon {
namespace {

// Guards against a digest that differs from the published SHA-256 test vector.
TEST(Hash, Sha256MatchesTestVector) {
  EXPECT_EQ(Sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against accepting a ticket that was signed with another key.
TEST(Hash, HmacDependsOnKeyAndData) {
  EXPECT_NE(HmacSha256Hex("a", "x"), HmacSha256Hex("b", "x"));
  EXPECT_NE(HmacSha256Hex("a", "x"), HmacSha256Hex("a", "y"));
  EXPECT_TRUE(ConstantTimeEquals("same", "same"));
  EXPECT_FALSE(ConstantTimeEquals("same", "sane"));
}

}  // namespace
}  // namespace tarragon
