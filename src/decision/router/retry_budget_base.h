/* Retry budgets, so that retries cannot multiply an overload. */
#ifndef RHUBARBTRAIL_DECISION_ROUTER_RETRY_BUDGET_BASE_H
#define RHUBARBTRAIL_DECISION_ROUTER_RETRY_BUDGET_BASE_H

#include "core/id_type.h"

#include <string>
#include <unordered_map>

namespace rhubarbtrail {

struct RetryBudgetOptions
{
  double ratio = 0.2;  ///< Retries earned by each first attempt.
  double burst = 10.0; ///< Retries that can be saved up.
};

/* A bucket for each customer and each service: first attempts fill it, retries drain it. */
class RetryBudget
{
public:
  void NoteFirstAttempt(const CustomerId& aCustomer,
                        const ServiceId& aService,
                        const RetryBudgetOptions& aOptions);

  /* Takes one retry from both buckets, or none when either is empty. */
  bool TakeRetry(const CustomerId& aCustomer,
                 const ServiceId& aService,
                 const RetryBudgetOptions& aOptions);

private:
  double& Bucket(const std::string& aName, const RetryBudgetOptions& aOptions);

  std::unordered_map<std::string, double> mBuckets;
};

} // namespace rhubarbtrail

#endif
