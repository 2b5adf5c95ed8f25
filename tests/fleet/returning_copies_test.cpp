/* Tests of the copies that are expected back after crashes, and of overdue loads. */
#include "decision/fleet/returning_copies.h"

#include <doctest/doctest.h>

namespace rhubarbtrail::fleet {

namespace {

const ServiceId kService{ "llm" };
const ModelId kModel{ "m" };
constexpr TimePoint kStart{ 100s };

const std::set<ModelId> kCopies{ kModel };

} // namespace

/* Guards against a load of 18 s from the weight store 100 ms before the runner with the only copy
 * is back, which kept a model without a replica for 40 s. */
TEST_CASE("a load from the store waits for the copy of a runner that crashed")
{
  ReturningCopies copies;
  copies.RecordLost(kStart, kService, kCopies);
  CHECK(copies.IsExpected(kStart + 3s, kService, kModel));
  CHECK_FALSE(copies.IsExpected(kStart + kCopyReturnTime, kService, kModel));
  CHECK_FALSE(copies.IsExpected(kStart, kService, ModelId{ "other" }));
  CHECK_FALSE(copies.IsExpected(kStart, ServiceId{ "other" }, kModel));
}

/* Guards against a load that is put off for good, since its runner crashes again and again. */
TEST_CASE("the wait for a copy ends although a copy is always expected")
{
  ReturningCopies copies;
  CHECK(copies.ShouldWait(kStart, kService, kModel, true));
  CHECK(copies.ShouldWait(kStart + 3s, kService, kModel, true));
  CHECK_FALSE(copies.ShouldWait(kStart + kCopyReturnTime, kService, kModel, true));
  copies.Expire(kStart + 10s);
  CHECK_FALSE(copies.ShouldWait(kStart + 10s, kService, kModel, true));
  CHECK_FALSE(copies.ShouldWait(kStart + 10s, kService, ModelId{ "other" }, false));
}

/* Guards against new behaviour where the store is nearly as fast as a disk. */
TEST_CASE("only a store much slower than the disk is worth a wait")
{
  CHECK(IsWorthWaitingForCopy({ .storeLoadTime = 18s, .diskLoadTime = 2s }));
  CHECK_FALSE(IsWorthWaitingForCopy({ .storeLoadTime = 6s, .diskLoadTime = 1s }));
}

/* Guards against requests that wait for a load which is overdue, are refused only when their
 * clients give up, and come back to wait again: for 20 s each got its refusal after 2 s. */
TEST_CASE("an overdue load beside others is expected at the next multiple of its duration")
{
  const auto end = [](Duration aElapsed, std::size_t aOthers) {
    return ExpectedStoreLoadEnd(kStart + aElapsed, kStart, 20s, aOthers) - kStart;
  };
  CHECK(end(5s, 2) == 20s);
  CHECK(end(20s + 200ms, 2) == 20s + 200ms);
  CHECK(end(21s, 2) == 40s);
  CHECK(end(41s, 2) == 60s);
  CHECK(end(70s, 2) == 70s);
  CHECK(end(21s, 0) == 21s);
}

} // namespace rhubarbtrail::fleet
