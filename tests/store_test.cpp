// The copy of the store.
#include <gtest/gtest.h>

#include "state/view.hpp"

namespace bankhill::state {
namespace {

TEST(View, OlderChangesChangeNothing) {
  View view;
  EXPECT_TRUE(view.apply({"k", wire::Json(1), wire::Stamp{5}}));
  EXPECT_FALSE(view.apply({"k", wire::Json(0), wire::Stamp{4}}));
  EXPECT_FALSE(view.apply({"k", std::nullopt, wire::Stamp{5}}));
  EXPECT_EQ(view.find("k")->data, wire::Json(1));
  EXPECT_TRUE(view.apply({"k", std::nullopt, wire::Stamp{6}}));
  EXPECT_EQ(view.stamp("k").value, 0U);
}

}  // namespace
}  // namespace bankhill::state
