/* Retry budgets as token buckets that first attempts refill. */
#include "decision/router/retry_budget_base.h"

#include <algorithm>

namespace rhubarbtrail {

namespace {

/* Number of buckets above which all of them are erased and start full again. */
constexpr std::size_t kBucketLimit = 65'536;

std::string CustomerBucket(const CustomerId& aCustomer)
{
  return "customer/" + aCustomer.str();
}

std::string ServiceBucket(const ServiceId& aService)
{
  return "service/" + aService.str();
}

} // namespace

double& RetryBudget::Bucket(const std::string& aName, const RetryBudgetOptions& aOptions)
{
  if (mBuckets.size() > kBucketLimit) {
    mBuckets.clear();
  }
  return mBuckets.try_emplace(aName, aOptions.burst).first->second;
}

void RetryBudget::RecordFirstAttempt(const CustomerId& aCustomer,
                                     const ServiceId& aService,
                                     const RetryBudgetOptions& aOptions)
{
  for (const std::string& name : { CustomerBucket(aCustomer), ServiceBucket(aService) }) {
    double& bucket = Bucket(name, aOptions);
    bucket = std::min(aOptions.burst, bucket + aOptions.ratio);
  }
}

bool RetryBudget::TakeRetry(const CustomerId& aCustomer,
                            const ServiceId& aService,
                            const RetryBudgetOptions& aOptions)
{
  if (Bucket(CustomerBucket(aCustomer), aOptions) < 1.0 ||
      Bucket(ServiceBucket(aService), aOptions) < 1.0) {
    return false;
  }
  Bucket(CustomerBucket(aCustomer), aOptions) -= 1.0;
  Bucket(ServiceBucket(aService), aOptions) -= 1.0;
  return true;
}

} // namespace rhubarbtrail
