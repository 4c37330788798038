/** Creates and connects the components of a router. */

import type { Clock, Logger } from "@rattanvane/base";
import type { RouterSettings } from "@rattanvane/settings";
import { FleetParts } from "./fleet_parts.ts";
import { MessageSwitch } from "./host/message_switch.ts";
import { RouterState } from "./host/router_state.ts";
import { IngressParts } from "./ingress_parts.ts";
import { RouterMetrics } from "./router_metrics.ts";

/** Settings and dependencies of RouterParts. */
export interface RouterPartsOptions {
  settings: RouterSettings;
  clock: Clock;
  logger: Logger;
}

/** The long-lived components of one router; all stop with one signal. */
export class RouterParts {
  readonly state = new RouterState();
  readonly metrics: RouterMetrics;
  readonly fleet: FleetParts;
  readonly ingress: IngressParts;
  readonly #messages: MessageSwitch;

  constructor(options: RouterPartsOptions, signal: AbortSignal) {
    this.metrics = new RouterMetrics(options.clock);
    this.fleet = new FleetParts({
      ...options,
      metrics: this.metrics,
      receive: (from, message) => this.#messages.handle(from, message),
    }, signal);
    this.ingress = new IngressParts({
      ...options,
      metrics: this.metrics,
      state: this.state,
      fleet: this.fleet,
      describeStatus: () => this.describeStatus(),
    }, signal);
    this.#messages = new MessageSwitch({ ...this.fleet, ...this.ingress });
    this.#registerGauges();
  }

  /** Returns the state of the fleet as known to this VM. */
  describeStatus(): object {
    const { fleet, ingress, state } = this;
    return {
      vm: fleet.self.vm,
      zone: fleet.self.zone,
      phase: state.phase,
      configurationVersion: fleet.store.current.version,
      vms: fleet.membership.listLive(fleet.self.zone),
      zones: [...fleet.store.current.zones.values()],
      terms: fleet.terms.list(),
      pools: fleet.host.describeStatus(),
      waiting: ingress.callRegistry.waiting,
      running: ingress.callRegistry.running,
    };
  }

  #registerGauges(): void {
    const { fleet, ingress } = this;
    this.metrics.registerGauges({
      countWaiting: () => ingress.callRegistry.waiting,
      countRunning: () => ingress.callRegistry.running,
      listPools: () => fleet.host.describeStatus(),
      countQuarantined: () => fleet.suspects.countQuarantined(),
      countLiveVms: () => fleet.membership.listLive(fleet.self.zone).length,
      readConfigurationVersion: () => fleet.store.current.version,
      readTraffic: () => fleet.network.traffic,
    });
  }
}
