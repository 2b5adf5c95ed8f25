/* Compares the policies that limit requests in flight at endpoints after a recovery. */
#include "bench/recovery_simulation.h"

#include <cstdio>

int main()
{
  using namespace rhubarbtrail::bench;
  for (const Scenario& scenario : RecoveryScenarios()) {
    for (const char* policy : { "off", "slow start", "vegas", "gradient", "aimd" }) {
      std::printf("%-36s %-12s %5.2f %% late or refused\n",
                  scenario.name,
                  policy,
                  MeanShareLateOrRefused(scenario, policy));
    }
  }
  return 0;
}
