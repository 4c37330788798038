/** A list of VMs that shows what happened some time ago. */

import type { Clock } from "@rattanvane/base";

/** A VM as the list shows it. */
export interface VmEntry {
  vm: string;
  zone: string;
  host: string;
  controlPort: number;
  callerPort: number;
  state: VmEntryState;
}

/** What the list says of a VM. */
export enum VmEntryState {
  Live = "live",
  Leaving = "leaving",
}

interface VmEvent {
  at: number;
  vm: string;
  /** Undefined when the VM was removed. */
  entry: VmEntry | undefined;
}

/** Changes are applied at once and shown after the lag. */
export class LaggingVmList {
  readonly #lagMilliseconds: number;
  readonly #clock: Clock;
  readonly #latest = new Map<string, VmEntry>();
  readonly #shown = new Map<string, VmEntry>();
  #pending: VmEvent[] = [];

  constructor(lagMilliseconds: number, clock: Clock) {
    this.#lagMilliseconds = lagMilliseconds;
    this.#clock = clock;
  }

  /** Registers a VM or replaces what was registered. */
  put(entry: VmEntry): void {
    this.#latest.set(entry.vm, entry);
    this.#record(entry.vm, entry);
  }

  /** Removes a VM; returns whether it was there. */
  remove(vm: string): boolean {
    this.#record(vm, undefined);
    return this.#latest.delete(vm);
  }

  /** Changes a VM's state; returns whether it was there. */
  updateState(vm: string, state: VmEntryState): boolean {
    const entry = this.#latest.get(vm);
    if (entry === undefined) {
      return false;
    }
    this.put({ ...entry, state });
    return true;
  }

  /** Lists what the platform shows now. */
  list(): VmEntry[] {
    const visibleUntil = this.#clock.now() - this.#lagMilliseconds;
    const visible = this.#pending.filter((event) => event.at <= visibleUntil);
    this.#pending = this.#pending.filter((event) => event.at > visibleUntil);
    for (const event of visible) {
      this.#show(event);
    }
    return [...this.#shown.values()];
  }

  #show(event: VmEvent): void {
    if (event.entry === undefined) {
      this.#shown.delete(event.vm);
    } else {
      this.#shown.set(event.vm, event.entry);
    }
  }

  #record(vm: string, entry: VmEntry | undefined): void {
    this.#pending.push({ at: this.#clock.now(), vm, entry });
  }
}
