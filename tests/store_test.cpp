// Tests of the local copy of the store.
#include <gtest/gtest.h>

#include "state/store_cache.hpp"

namespace bankhill::state {
namespace {

TEST(View, IgnoresOutdatedChanges) {
  StoreCache cache;
  EXPECT_TRUE(cache.apply({"k", wire::Json(1), wire::KeyRevision{5}}));
  EXPECT_FALSE(cache.apply({"k", wire::Json(0), wire::KeyRevision{4}}));
  EXPECT_FALSE(cache.apply({"k", std::nullopt, wire::KeyRevision{5}}));
  EXPECT_EQ(cache.find("k")->data, wire::Json(1));
  EXPECT_TRUE(cache.apply({"k", std::nullopt, wire::KeyRevision{6}}));
  EXPECT_EQ(cache.revision("k").value, 0U);
}

}  // namespace
}  // namespace bankhill::state
