/** The scenarios of the bench. */

import { ConfigurationScenario } from "./configuration_scenario.ts";
import { ControlScenario } from "./control_scenario.ts";
import { FairnessScenario } from "./fairness_scenario.ts";
import { FirstTokenScenario } from "./first_token_scenario.ts";
import type { Scenario } from "./scenario.ts";
import { UtilisationScenario } from "./utilisation_scenario.ts";
import { ZoneCutScenario, ZoneDrainScenario } from "./zone_loss_scenario.ts";

/** Lists all scenarios in the order in which they are run. */
export function listScenarios(): Scenario[] {
  return [
    new FairnessScenario(),
    new UtilisationScenario(),
    new ZoneDrainScenario(),
    new ZoneCutScenario(),
    new FirstTokenScenario(),
    new ControlScenario(),
    new ConfigurationScenario(),
  ];
}
