/** The metric of service received by each active organisation. */

import type { Clock } from "@rattanvane/base";
import { Counter, type Registry } from "prom-client";
import { ActiveOrganisations } from "./active_organisations.ts";

const IDLE_TIMEOUT_MILLISECONDS = 900_000;
const MAXIMUM_ORGANISATIONS = 1_000;

/** Counts cost units; the series of idle organisations are removed. */
export class OrganisationCosts {
  readonly #counter: Counter<"organisation" | "service">;
  readonly #services = new Map<string, Set<string>>();
  readonly #active: ActiveOrganisations;

  constructor(registry: Registry, clock: Clock) {
    const active = new ActiveOrganisations({
      clock,
      idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
      limit: MAXIMUM_ORGANISATIONS,
      remove: (organisation) => this.#remove(organisation),
    });
    this.#active = active;
    this.#counter = new Counter({
      name: "rattanvane_ingress_cost_units_total",
      help: "Service received, by organisation and service.",
      labelNames: ["organisation", "service"],
      registers: [registry],
      collect: () => active.prune(),
    });
  }

  /** Adds the cost units of an attempt. */
  add(labels: { organisation: string; service: string }, cost: number): void {
    const { organisation, service } = labels;
    const services = this.#services.get(organisation) ?? new Set();
    this.#services.set(organisation, services.add(service));
    this.#counter.inc({ organisation, service }, cost);
    this.#active.record(organisation);
  }

  #remove(organisation: string): void {
    for (const service of this.#services.get(organisation) ?? []) {
      this.#counter.remove({ organisation, service });
    }
    this.#services.delete(organisation);
  }
}
