/* Retry budgets, which keep retries from multiplying an overload. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_RETRY_BUDGET_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_RETRY_BUDGET_BASE_H

#include "core/id_type.h"

#include <string>
#include <unordered_map>

namespace rhubarbtrail {

struct RetryBudgetOptions
{
  double ratio = 0.2;  ///< Retries earned by each first attempt.
  double burst = 10.0; ///< Maximum number of retries in a budget, and its initial value.
};

/* Token buckets, one for each customer and one for each service. First attempts add tokens, and
 * each retry takes one. */
class RetryBudget
{
public:
  void RecordFirstAttempt(const CustomerId& aCustomer,
                          const ServiceId& aService,
                          const RetryBudgetOptions& aOptions);

  /* Takes one token from both buckets and returns true. Takes none and returns false if either
   * bucket has less than one. */
  bool TakeRetry(const CustomerId& aCustomer,
                 const ServiceId& aService,
                 const RetryBudgetOptions& aOptions);

private:
  double& Bucket(const std::string& aName, const RetryBudgetOptions& aOptions);

  std::unordered_map<std::string, double> mBuckets;
};

} // namespace rhubarbtrail

#endif
