// The copy of the store.
#include <gtest/gtest.h>

#include "state/store_cache.hpp"

namespace bankhill::state {
namespace {

TEST(View, OlderChangesChangeNothing) {
  StoreCache view;
  EXPECT_TRUE(view.apply({"k", wire::Json(1), wire::KeyRevision{5}}));
  EXPECT_FALSE(view.apply({"k", wire::Json(0), wire::KeyRevision{4}}));
  EXPECT_FALSE(view.apply({"k", std::nullopt, wire::KeyRevision{5}}));
  EXPECT_EQ(view.find("k")->data, wire::Json(1));
  EXPECT_TRUE(view.apply({"k", std::nullopt, wire::KeyRevision{6}}));
  EXPECT_EQ(view.revision("k").value, 0U);
}

}  // namespace
}  // namespace bankhill::state
